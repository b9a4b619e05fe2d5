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
	startDelay          = 150 * time.Millisecond // before the platform restarts a process that has ended
	terminateTimeout    = 5 * time.Second        // from SIGTERM to SIGKILL
	maxEarlySignalDelay = 8 * time.Millisecond   // at most this long after a start
	signalPollInterval  = 50 * time.Microsecond
	tornDuration        = 300 * time.Millisecond
	stormInterval       = 50 * time.Millisecond
	maxRepeats          = 5
)

// injectedFault records when a fault was active and which machines it affected; a nil affects means all of them.
type injectedFault struct {
	kind     Kind
	process  string // the affected process, for faults of a single process
	from, to time.Time
	affects  func(machine string) bool
}

// inject injects one fault and returns once it is over and the affected processes run again.
func (r *run) inject(f Fault) {
	record := &injectedFault{kind: f.Kind, process: r.pickProcess(f.Target).Name, affects: r.affectedMachines(f)}
	r.record(record)
	r.logf("begin %v", f)
	r.perform(f)
	r.logf("end   %v", f)
	r.recordEnd(record)
}

// record adds a fault that begins now.
func (r *run) record(fault *injectedFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault.from = time.Now()
	r.injected = append(r.injected, fault)
}

// recordEnd records that a fault is over.
func (r *run) recordEnd(fault *injectedFault) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fault.to = time.Now()
}

// affectedMachines returns a predicate for the machines that a fault affects. Faults of searchers, operators and clients
// affect none.
func (r *run) affectedMachines(f Fault) func(machine string) bool {
	switch f.Kind {
	case SearcherCrash, SearcherUnresponsive, SearcherDrain, SearcherDelete, SearcherReassign, SearcherMisbehaving,
		SearcherReset, SearcherSlow, SearcherQueue, SearcherRefusing, SearcherFailing, SearcherFreeze, FreezeMany, ReassignMany, LoadBurst, ConfigRace,
		ConfigStorm, Reshard, MalformedRequests, DropResponses:
		return func(string) bool { return false }
	case KillProcess, KillRepeatedly, Freeze, Terminate, TerminateTwice, TerminateEarly, Reload, ReloadEarly, ReloadTorn:
		return r.onlyMachine(r.pickProcess(f.Target).Machine)
	case KillMachine, FreezeMachine, Isolate, SlowLinks, ResetConnections:
		return r.onlyMachine(r.pickMachine(f.Target))
	}
	return nil
}

// onlyMachine returns a predicate for one machine. A fault of a controller's machine affects all machines.
func (r *run) onlyMachine(affected string) func(string) bool {
	if strings.HasPrefix(affected, "core") {
		return nil
	}
	return func(machine string) bool { return machine == affected }
}

func (r *run) pickProcess(choice int) *localsystem.Process {
	processes := r.activeProcesses("")
	return processes[choice%len(processes)]
}

// activeProcesses returns the processes of one role, or all if role is empty, without spares and replaced controllers.
func (r *run) activeProcesses(role string) (processes []*localsystem.Process) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.active {
		if role == "" || p.Role == role {
			processes = append(processes, p)
		}
	}
	return processes
}

func (r *run) pickMachine(choice int) string { return r.pickProcess(choice).Machine }

func (r *run) pickController(choice int) *localsystem.Process {
	processes := r.activeProcesses("controller")
	return processes[choice%len(processes)]
}

// processesOf returns the processes of a machine.
func (r *run) processesOf(machine string) (processes []*localsystem.Process) {
	for _, p := range r.activeProcesses("") {
		if p.Machine == machine {
			processes = append(processes, p)
		}
	}
	return processes
}

func (r *run) perform(f Fault) {
	switch f.Kind {
	case KillProcess:
		r.kill(f.Duration, nil, r.pickProcess(f.Target))
	case KillMachine:
		r.kill(f.Duration, nil, r.processesOf(r.pickMachine(f.Target))...)
	case KillControllers:
		r.kill(startDelay, nil, r.activeProcesses("controller")...)
	case KillAll:
		r.kill(startDelay, nil, r.activeProcesses("")...)
	case KillRepeatedly:
		for range 2 + f.Variant%(maxRepeats-1) {
			r.kill(startDelay, nil, r.pickProcess(f.Target))
			r.sleep(f.Duration / maxRepeats)
		}
	case Freeze:
		r.freeze(f.Duration, r.pickProcess(f.Target))
	case FreezeMachine:
		r.freeze(f.Duration, r.processesOf(r.pickMachine(f.Target))...)
	case Terminate:
		r.terminate(r.pickProcess(f.Target), 0)
	case TerminateTwice:
		r.terminate(r.pickProcess(f.Target), time.Duration(f.Variant%500)*time.Millisecond+time.Millisecond)
	case TerminateEarly:
		r.signalEarly(r.pickProcess(f.Target), syscall.SIGTERM, f.Variant)
	case Reload:
		signalReload(r.pickProcess(f.Target))
	case ReloadEarly:
		r.signalEarly(r.pickProcess(f.Target), syscall.SIGHUP, f.Variant)
	case ReloadTorn:
		r.reloadTorn(r.pickProcess(f.Target))
	case WipeDisk, WipeAndKillAll:
		r.wipe(f)
	case ReplaceController:
		r.replaceController(r.pickController(f.Target))
	case ConfigRace:
		r.operators.race(r.ctx)
	case ConfigStorm:
		r.configStorm(f.Duration)
	case LoadBurst:
		r.load.burst(r.ctx, f.Duration)
	case MalformedRequests:
		r.abuse(f.Duration, f.Variant)
	default:
		if !r.injectLinkFault(f) && !r.injectMultiFault(f) {
			r.injectSearcherFault(f)
		}
	}
}

func (r *run) injectSearcherFault(f Fault) {
	s := r.takeSearcher(f.Target)
	if s == nil {
		return
	}
	switch f.Kind {
	case SearcherCrash:
		r.crash(s, f.Duration)
	case SearcherUnresponsive:
		r.mute(s, f.Duration)
	case SearcherDrain:
		r.deregister(s, true)
	case SearcherDelete:
		r.deregister(s, false)
	case SearcherReassign:
		r.reassignAddress(s, f.Variant)
	case SearcherMisbehaving:
		r.misbehave(s, f.Duration, f.Variant)
	case SearcherSlow:
		r.slowDown(s, f.Duration)
	case SearcherFailing:
		r.failRequests(s, f.Duration)
	case SearcherFreeze:
		r.freezeSearcher(s, f.Duration)
	case SearcherReset:
		s.markUnreliable()
		s.ResetConns()
		r.returnSearcher(s)
	}
}

// kill kills processes at the same moment and restarts them after a pause. It calls between once they have ended.
func (r *run) kill(downtime time.Duration, between func(), processes ...*localsystem.Process) {
	held := r.lockProcesses(processes)
	defer held.release()
	for _, p := range processes {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range processes {
		<-p.Ended()
	}
	if between != nil {
		between()
	}
	r.sleep(downtime)
	r.startAll(processes)
}

func (r *run) startAll(processes []*localsystem.Process) {
	for _, p := range processes {
		r.checkExit(p)
		if err := p.Start(); err != nil {
			r.violation("soak: %v", err)
		}
	}
}

// checkExit reports a violation if the process ended without being stopped.
func (r *run) checkExit(p *localsystem.Process) {
	if err := p.UnexpectedEnd(); err != nil {
		r.violation("ended by itself: %v", err)
	}
}

// freeze stops processes with SIGSTOP and resumes them with SIGCONT.
func (r *run) freeze(duration time.Duration, processes ...*localsystem.Process) {
	held := r.lockProcesses(processes)
	defer held.release()
	for _, p := range processes {
		p.Signal(syscall.SIGSTOP)
	}
	r.sleep(duration)
	for _, p := range processes {
		p.Signal(syscall.SIGCONT)
	}
}

// terminate sends SIGTERM to a process, a second one after secondAfter unless that is 0, and restarts the process.
func (r *run) terminate(p *localsystem.Process, secondAfter time.Duration) {
	held := r.lockProcesses([]*localsystem.Process{p})
	defer held.release()
	p.Signal(syscall.SIGTERM)
	if secondAfter > 0 {
		r.sleep(secondAfter)
		p.Signal(syscall.SIGTERM)
	}
	select {
	case <-p.Ended():
	case <-time.After(terminateTimeout):
		r.violation("did not end: %s, %v after SIGTERM", p.Name, terminateTimeout)
		p.Kill()
	}
	r.sleep(startDelay)
	r.startAll([]*localsystem.Process{p})
}

// signalEarly restarts a process and sends it a signal during startup.
func (r *run) signalEarly(p *localsystem.Process, signal syscall.Signal, variant int) {
	r.kill(startDelay, nil, p)
	held := r.lockProcesses([]*localsystem.Process{p})
	defer held.release()
	awaitSignalHandler(p, signal)
	time.Sleep(time.Duration(variant) * time.Microsecond % maxEarlySignalDelay)
	p.Signal(signal)
	if signal == syscall.SIGHUP {
		return
	}
	select {
	case <-p.Ended():
	case <-time.After(terminateTimeout):
		r.violation("did not end: %s, %v after an early SIGTERM", p.Name, terminateTimeout)
		p.Kill()
	}
	r.startAll([]*localsystem.Process{p})
}

// reloadTorn makes a process reload its settings while the file is half written, then while it is missing.
func (r *run) reloadTorn(p *localsystem.Process) {
	held := r.lockProcesses([]*localsystem.Process{p}) // so that no other fault restarts it in the meantime
	defer held.release()
	settings, err := os.ReadFile(p.SettingsPath)
	if err != nil {
		r.violation("soak: %v", err)
		return
	}
	os.WriteFile(p.SettingsPath, settings[:len(settings)/2], 0o600)
	signalReload(p)
	r.sleep(tornDuration)
	os.Remove(p.SettingsPath)
	signalReload(p)
	r.sleep(tornDuration)
	if err := os.WriteFile(p.SettingsPath, settings, 0o600); err != nil {
		r.violation("soak: %v", err)
	}
	signalReload(p)
}

// wipe kills a controller, alone or with all other processes, and deletes its disk.
func (r *run) wipe(f Fault) {
	p := r.pickController(f.Target)
	processes := []*localsystem.Process{p}
	if f.Kind == WipeAndKillAll {
		processes = r.activeProcesses("")
	}
	r.kill(startDelay, func() {
		if err := r.system.Wipe(p.Machine); err != nil {
			r.violation("soak: %v", err)
		}
	}, processes...)
}

// replaceController removes a controller for good and starts an empty one at another address.
func (r *run) replaceController(p *localsystem.Process) {
	held := r.lockProcesses([]*localsystem.Process{p})
	defer held.release()
	p.Kill()
	r.sleep(startDelay)
	r.mu.Lock()
	i := slices.Index(r.active, p)
	var spare *localsystem.Process
	for _, x := range r.system.Processes {
		if x.Role == "controller" && x.Incarnations() == 0 {
			spare = x
		}
	}
	if i >= 0 && spare != nil {
		r.active[i] = spare
	}
	r.mu.Unlock()
	if i < 0 || spare == nil {
		return // another fault has replaced it already
	}
	r.startAll([]*localsystem.Process{spare})
}

// configStorm sends configurations in quick succession.
func (r *run) configStorm(duration time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end) && r.ctx.Err() == nil; r.sleep(stormInterval) {
		wg.Go(func() { r.operators.change(r.ctx) })
	}
	wg.Wait()
}

// heldProcesses are processes that no other fault may start or stop until they are released.
type heldProcesses struct{ locks []*sync.Mutex }

// lockProcesses locks the processes against other faults, always in the same order to avoid a deadlock.
func (r *run) lockProcesses(processes []*localsystem.Process) heldProcesses {
	var h heldProcesses
	for i, p := range r.system.Processes {
		for _, x := range processes {
			if x == p {
				r.processLocks[i].Lock()
				h.locks = append(h.locks, &r.processLocks[i])
			}
		}
	}
	return h
}

func (h heldProcesses) release() {
	for _, l := range h.locks {
		l.Unlock()
	}
}

// sleep waits for d or until the run is cancelled.
func (r *run) sleep(d time.Duration) {
	ctx, stop := context.WithTimeout(r.ctx, d)
	defer stop()
	<-ctx.Done()
}
