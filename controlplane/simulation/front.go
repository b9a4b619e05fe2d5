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

// front is a front machine as the control plane sees it: an agent and the proxy beside it, two replicas that pull. Its
// fields are guarded by the simulation's lock.
type front struct {
	index       int
	disturbedAt time.Time // time of the last fault or restart on this machine
	agent       replicaProcess
	proxy       replicaProcess
}

// replicaProcess is a process that holds a replica.
type replicaProcess struct {
	host    *simnet.Host
	replica *distribution.Replica
	stop    context.CancelFunc
	started time.Time
	version uint64 // of the configuration, at the last check
}

func (r *replicaProcess) kill() {
	if r.stop != nil {
		r.stop()
		r.host.Kill()
		r.stop = nil
	}
}

func frontIP(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }
func proxyIP(i int) string { return fmt.Sprintf("10.2.0.%d", i+1) }

func (sim *Simulation) addFront(i int) {
	f := &front{index: i}
	sim.mu.Lock()
	sim.fronts = append(sim.fronts, f)
	sim.mu.Unlock()
	sim.startAgent(f)
	sim.startProxy(f)
}

func (sim *Simulation) startReplica(f *front, r *replicaProcess, ip, name string) context.Context {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	r.kill()
	ctx, stop := context.WithCancel(context.Background())
	now := time.Now()
	*r = replicaProcess{host: sim.net.Start(ip), stop: stop, started: now,
		replica: distribution.NewReplica(registry.New(registry.Config{Name: fmt.Sprintf("%s-%d/%d", name, f.index, now.UnixNano()),
			Relay: true, Period: heartbeatPeriod, Start: now}))}
	f.disturbedAt = now
	return ctx
}

func (sim *Simulation) startAgent(f *front) {
	ip := frontIP(f.index)
	ctx := sim.startReplica(f, &f.agent, ip, "agent")
	s := sim.settings(fmt.Sprint("front-", f.index), ip, f.index)
	r := f.agent
	ln, err := r.host.Listen(agentAddr(f.index))
	if err != nil {
		return
	}
	server := distribution.Server{Replica: r.replica}
	sim.processes.Go(func() { server.Serve(ctx, ln) })
	var seeds []string
	for _, seed := range s.Seeds {
		host, _, _ := net.SplitHostPort(seed)
		seeds = append(seeds, net.JoinHostPort(host, controlplane.DistributionPort(s)))
	}
	choice := agent.ControllerSelector{Settings: s, Replica: r.replica, Seeds: seeds}
	calls := uint64(0)
	p := distribution.Puller{Replica: r.replica, Node: s.Node,
		Incarnation: fmt.Sprint("agent/", f.index, "/", r.started.UnixNano()), Kind: "agent",
		Choose: choice.Choose, LeaveIsolated: true, HasBetter: choice.HasBetter, Network: r.host,
		PrepareRequest: func(a *distribution.PullRequest, _ bool) {
			calls++
			a.Mixer = &distribution.AgentHeartbeat{Calls: calls}
		}}
	sim.processes.Go(func() { p.Run(ctx) })
	sim.tickReplica(ctx, r.replica)
}

func agentAddr(i int) string { return fmt.Sprintf("%s:%d", frontIP(i), portFirst+2) }

func (sim *Simulation) startProxy(f *front) {
	ctx := sim.startReplica(f, &f.proxy, proxyIP(f.index), "proxy")
	r := f.proxy
	p := distribution.Puller{Replica: r.replica, Node: fmt.Sprint("front-", f.index),
		Incarnation: fmt.Sprint("proxy/", f.index, "/", r.started.UnixNano()), Kind: "proxy",
		Choose: func(int) string { return agentAddr(f.index) }, Network: r.host}
	sim.processes.Go(func() { p.Run(ctx) })
	sim.tickReplica(ctx, r.replica)
}

func (sim *Simulation) tickReplica(ctx context.Context, b *distribution.Replica) {
	sim.processes.Go(func() {
		periodic.Run(ctx, heartbeatPeriod/2, func() {
			b.WithRegistry(func(r *registry.Registry) bool { return r.Tick(time.Now()) })
		})
	})
}
