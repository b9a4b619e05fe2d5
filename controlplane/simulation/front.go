package simulation

import (
	"context"
	"fmt"
	"net"
	"time"

	"peathollow/agent"
	"peathollow/controlplane"
	"peathollow/distribution"
	"peathollow/internal/periodic"
	"peathollow/internal/simnet"
	"peathollow/registry"
)

// front is a front machine: an agent and the proxy beside it, as far as the control side knows them: two boards that pull.
// Its fields are guarded by the world's lock.
type front struct {
	no        int
	disturbed time.Time // the last event on this machine
	agent     relay
	proxy     relay
}

// relay is a process that holds news.
type relay struct {
	host    *simnet.Host
	board   *distribution.Replica
	stop    context.CancelFunc
	started time.Time
	version uint64 // of the configuration, as last seen
}

func (r *relay) end() {
	if r.stop != nil {
		r.stop()
		r.host.Kill()
		r.stop = nil
	}
}

func frontIP(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }
func proxyIP(i int) string { return fmt.Sprintf("10.2.0.%d", i+1) }

func (w *World) addFront(i int) {
	f := &front{no: i}
	w.mu.Lock()
	w.fronts = append(w.fronts, f)
	w.mu.Unlock()
	w.startAgent(f)
	w.startProxy(f)
}

func (w *World) begin(f *front, r *relay, ip, name string) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.end()
	ctx, stop := context.WithCancel(context.Background())
	now := time.Now()
	*r = relay{host: w.net.Start(ip), stop: stop, started: now,
		board: distribution.NewReplica(registry.New(registry.Config{Name: fmt.Sprintf("%s-%d/%d", name, f.no, now.UnixNano()), Relay: true,
			Period: beatPeriod, Start: now}))}
	f.disturbed = now
	return ctx
}

func (w *World) startAgent(f *front) {
	ip := frontIP(f.no)
	ctx := w.begin(f, &f.agent, ip, "agent")
	s := w.settings(fmt.Sprint("front-", f.no), ip, f.no)
	r := f.agent
	ln, err := r.host.Listen(agentAddr(f.no))
	if err != nil {
		return
	}
	server := distribution.Server{Replica: r.board}
	w.work.Go(func() { server.Serve(ctx, ln) })
	var seeds []string
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		seeds = append(seeds, net.JoinHostPort(host, controlplane.NewsPort(s)))
	}
	choice := agent.Choice{Set: s, Board: r.board, Seeds: seeds}
	calls := uint64(0)
	p := distribution.Puller{Replica: r.board, Node: s.Node, Incarnation: fmt.Sprint("agent/", f.no, "/", r.started.UnixNano()), Kind: "agent",
		Choose: choice.Choose, LeaveIsolated: true, HasBetter: choice.Better, Network: r.host,
		PrepareRequest: func(a *distribution.PullRequest, _ bool) {
			calls++
			a.Mixer = &distribution.AgentHeartbeat{Calls: calls}
		}}
	w.work.Go(func() { p.Run(ctx) })
	w.tickBoard(ctx, r.board)
}

func agentAddr(i int) string { return fmt.Sprintf("%s:%d", frontIP(i), portFirst+2) }

func (w *World) startProxy(f *front) {
	ctx := w.begin(f, &f.proxy, proxyIP(f.no), "proxy")
	r := f.proxy
	p := distribution.Puller{Replica: r.board, Node: fmt.Sprint("front-", f.no), Incarnation: fmt.Sprint("proxy/", f.no, "/", r.started.UnixNano()), Kind: "proxy",
		Choose: func(int) string { return agentAddr(f.no) }, Network: r.host}
	w.work.Go(func() { p.Run(ctx) })
	w.tickBoard(ctx, r.board)
}

func (w *World) tickBoard(ctx context.Context, b *distribution.Replica) {
	w.work.Go(func() {
		periodic.Each(ctx, beatPeriod/2, func() {
			b.WithRegistry(func(r *registry.Registry) bool { return r.Tick(time.Now()) })
		})
	})
}
