package soak

import (
	"context"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"peathollow/internal/standin/localsystem"
)

const (
	startDelay     = 150 * time.Millisecond // of a process after its end, as the platform gives it
	graceTime      = 5 * time.Second        // from SIGTERM to SIGKILL
	earlySignalAt  = 8 * time.Millisecond   // after a start
	earlyLookEvery = 50 * time.Microsecond
	tornFor        = 300 * time.Millisecond
	stormGap       = 50 * time.Millisecond
	repeatMost     = 5
)

// inflicted is a trouble as it was done: when, and to whom; to everybody if strikes is nil.
type inflicted struct {
	kind     Kind
	process  string // that it strikes, if it is one
	from, to time.Time
	strikes  func(machine string) bool
}

// inflict does one trouble and returns once it is over and what it struck runs again.
func (r *run) inflict(t Trouble) {
	in := &inflicted{kind: t.Kind, process: r.oneOf(t.One).Name, strikes: r.strikes(t)}
	r.mu.Lock()
	in.from = time.Now()
	r.inflicted = append(r.inflicted, in)
	r.mu.Unlock()
	r.note("begin %v", t)
	r.do(t)
	r.note("end   %v", t)
	r.mu.Lock()
	in.to = time.Now()
	r.mu.Unlock()
}

// strikes says which machines a trouble touches: trouble of searchers, operators and clients touches none.
func (r *run) strikes(t Trouble) func(machine string) bool {
	switch t.Kind {
	case SearcherCrash, SearcherMute, SearcherDrain, SearcherDelete, SearcherReplace, SearcherRude, SearcherReset, SearcherSlow, SearcherFailing,
		SearcherFreeze, FreezeMany, ReplaceMany, Burst, Race, Storm, Reshard, Abuse, LoseAnswers:
		return func(string) bool { return false }
	case KillProcess, KillRepeatedly, Freeze, Terminate, TerminateTwice, TerminateEarly, Reload, ReloadEarly, ReloadTorn:
		return r.only(r.oneOf(t.One).Machine)
	case KillMachine, FreezeMachine, Isolate, Slow, Reset:
		return r.only(r.machine(t.One))
	}
	return nil
}

// only tells of a machine of its own; one of the core touches all.
func (r *run) only(struck string) func(string) bool {
	if strings.HasPrefix(struck, "core") {
		return nil
	}
	return func(machine string) bool { return machine == struck }
}

func (r *run) oneOf(choice int) *localsystem.Process {
	all := r.present("")
	return all[choice%len(all)]
}

// present gives the processes that are there, of one role or of all.
func (r *run) present(role string) (all []*localsystem.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.active {
		if role == "" || p.Role == role {
			all = append(all, p)
		}
	}
	return all
}

func (r *run) machine(choice int) string { return r.oneOf(choice).Machine }

func (r *run) controller(choice int) *localsystem.Process {
	all := r.present("controller")
	return all[choice%len(all)]
}

// ofMachine gives a machine's processes.
func (r *run) ofMachine(machine string) (all []*localsystem.Process) {
	for _, p := range r.present("") {
		if p.Machine == machine {
			all = append(all, p)
		}
	}
	return all
}

func (r *run) do(t Trouble) {
	switch t.Kind {
	case KillProcess:
		r.kill(t.For, nil, r.oneOf(t.One))
	case KillMachine:
		r.kill(t.For, nil, r.ofMachine(r.machine(t.One))...)
	case KillCore:
		r.kill(startDelay, nil, r.present("controller")...)
	case KillAll:
		r.kill(startDelay, nil, r.present("")...)
	case KillRepeatedly:
		for range 2 + t.Chance%(repeatMost-1) {
			r.kill(startDelay, nil, r.oneOf(t.One))
			r.pause(t.For / repeatMost)
		}
	case Freeze:
		r.freeze(t.For, r.oneOf(t.One))
	case FreezeMachine:
		r.freeze(t.For, r.ofMachine(r.machine(t.One))...)
	case Terminate:
		r.terminate(r.oneOf(t.One), 0)
	case TerminateTwice:
		r.terminate(r.oneOf(t.One), time.Duration(t.Chance%500)*time.Millisecond+time.Millisecond)
	case TerminateEarly:
		r.early(r.oneOf(t.One), syscall.SIGTERM, t.Chance)
	case Reload:
		hangUp(r.oneOf(t.One))
	case ReloadEarly:
		r.early(r.oneOf(t.One), syscall.SIGHUP, t.Chance)
	case ReloadTorn:
		r.torn(r.oneOf(t.One))
	case WipeDisk, WipeAndKillAll:
		r.wipe(t)
	case ReplaceCore:
		r.replaceCore(r.controller(t.One))
	case Race:
		r.operators.race(r.ctx)
	case Storm:
		r.storm(t.For)
	case Burst:
		r.load.burst(r.ctx, t.For)
	case Abuse:
		r.abuse(t.For, t.Chance)
	default:
		if !r.doToLinks(t) && !r.doToMany(t) {
			r.doToSearcher(t)
		}
	}
}

func (r *run) doToSearcher(t Trouble) {
	s := r.takeOne(t.One)
	if s == nil {
		return
	}
	switch t.Kind {
	case SearcherCrash:
		r.crash(s, t.For)
	case SearcherMute:
		r.mute(s, t.For)
	case SearcherDrain:
		r.leave(s, true)
	case SearcherDelete:
		r.leave(s, false)
	case SearcherReplace:
		r.reuse(s, t.Chance)
	case SearcherRude:
		r.misbehave(s, t.For, t.Chance)
	case SearcherSlow:
		r.slowDown(s, t.For)
	case SearcherFailing:
		r.fail(s, t.For)
	case SearcherFreeze:
		r.stand(s, t.For)
	case SearcherReset:
		s.fallIll()
		s.Break()
		r.giveBack(s)
	}
}

// kill kills processes at the same moment and starts them again; between runs meanwhile.
func (r *run) kill(down time.Duration, between func(), all ...*localsystem.Process) {
	held := r.hold(all)
	defer held.release()
	for _, p := range all {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range all {
		<-p.Ended()
	}
	if between != nil {
		between()
	}
	r.pause(down)
	r.startAll(all)
}

func (r *run) startAll(all []*localsystem.Process) {
	for _, p := range all {
		r.ending(p)
		if err := p.Start(); err != nil {
			r.violated("soak: %v", err)
		}
	}
}

// ending looks at how a life ended.
func (r *run) ending(p *localsystem.Process) {
	if err := p.Fault(); err != nil {
		r.violated("ended by itself: %v", err)
	}
}

// freeze stops processes and lets them go on.
func (r *run) freeze(span time.Duration, all ...*localsystem.Process) {
	held := r.hold(all)
	defer held.release()
	for _, p := range all {
		p.Signal(syscall.SIGSTOP)
	}
	r.pause(span)
	for _, p := range all {
		p.Signal(syscall.SIGCONT)
	}
}

// terminate stops a process in order, with a second SIGTERM after a while if one is given, and starts it again.
func (r *run) terminate(p *localsystem.Process, again time.Duration) {
	held := r.hold([]*localsystem.Process{p})
	defer held.release()
	p.Signal(syscall.SIGTERM)
	if again > 0 {
		r.pause(again)
		p.Signal(syscall.SIGTERM)
	}
	select {
	case <-p.Ended():
	case <-time.After(graceTime):
		r.violated("did not end: %s, %v after SIGTERM", p.Name, graceTime)
		p.Kill()
	}
	r.pause(startDelay)
	r.startAll([]*localsystem.Process{p})
}

// early sends a signal to a process that has just been started.
func (r *run) early(p *localsystem.Process, s syscall.Signal, chance int) {
	r.kill(startDelay, nil, p)
	held := r.hold([]*localsystem.Process{p})
	defer held.release()
	awaitSay(p, s)
	time.Sleep(time.Duration(chance) * time.Microsecond % earlySignalAt)
	p.Signal(s)
	if s == syscall.SIGHUP {
		return
	}
	select {
	case <-p.Ended():
	case <-time.After(graceTime):
		r.violated("did not end: %s, %v after an early SIGTERM", p.Name, graceTime)
		p.Kill()
	}
	r.startAll([]*localsystem.Process{p})
}

// torn has a process told that its settings have changed while the file is half written, then gone.
func (r *run) torn(p *localsystem.Process) {
	held := r.hold([]*localsystem.Process{p}) // nobody starts it meanwhile
	defer held.release()
	whole, err := os.ReadFile(p.Conf)
	if err != nil {
		r.violated("soak: %v", err)
		return
	}
	os.WriteFile(p.Conf, whole[:len(whole)/2], 0o600)
	hangUp(p)
	r.pause(tornFor)
	os.Remove(p.Conf)
	hangUp(p)
	r.pause(tornFor)
	if err := os.WriteFile(p.Conf, whole, 0o600); err != nil {
		r.violated("soak: %v", err)
	}
	hangUp(p)
}

// wipe kills a controller, alone or with all other processes, and has its disk lost.
func (r *run) wipe(t Trouble) {
	p := r.controller(t.One)
	all := []*localsystem.Process{p}
	if t.Kind == WipeAndKillAll {
		all = r.present("")
	}
	r.kill(startDelay, func() {
		if err := r.system.Wipe(p.Machine); err != nil {
			r.violated("soak: %v", err)
		}
	}, all...)
}

// replaceCore has a controller go for good and an empty one come at another address.
func (r *run) replaceCore(p *localsystem.Process) {
	held := r.hold([]*localsystem.Process{p})
	defer held.release()
	p.Kill()
	r.pause(startDelay)
	r.mu.Lock()
	i := slices.Index(r.active, p)
	var spare *localsystem.Process
	for _, x := range r.system.Processes {
		if x.Role == "controller" && x.Lives() == 0 {
			spare = x
		}
	}
	if i >= 0 && spare != nil {
		r.active[i] = spare
	}
	r.mu.Unlock()
	if i < 0 || spare == nil {
		return // another trouble has replaced it
	}
	r.startAll([]*localsystem.Process{spare})
}

// storm sends configurations in quick succession.
func (r *run) storm(span time.Duration) {
	var all sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end) && r.ctx.Err() == nil; r.pause(stormGap) {
		all.Go(func() { r.operators.change(r.ctx) })
	}
	all.Wait()
}

// held are processes that no other trouble starts or stops meanwhile.
type held struct{ locks []*sync.Mutex }

// hold waits until no other trouble has any of the processes, in one order for all.
func (r *run) hold(all []*localsystem.Process) held {
	var h held
	for i, p := range r.system.Processes {
		for _, x := range all {
			if x == p {
				r.locks[i].Lock()
				h.locks = append(h.locks, &r.locks[i])
			}
		}
	}
	return h
}

func (h held) release() {
	for _, l := range h.locks {
		l.Unlock()
	}
}

// pause waits; shorter if the run is called off.
func (r *run) pause(d time.Duration) {
	ctx, stop := context.WithTimeout(r.ctx, d)
	defer stop()
	<-ctx.Done()
}
