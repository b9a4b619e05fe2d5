package simulation

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"github.com/cockroachdb/pebble/v2/vfs/errorfs"

	"peathollow/controlplane"
	"peathollow/internal/simnet"
)

// syncTime is the duration of a disk sync.
const syncTime = 5 * time.Millisecond

// disk is the state of a machine that survives its processes.
type disk struct {
	files           *vfs.MemFS
	stallTo, fullTo atomic.Int64 // since the start of the run
	start           time.Time
	syncTime        time.Duration
}

func (sim *Simulation) newDisk(files *vfs.MemFS) *disk {
	return &disk{files: files, start: sim.start, syncTime: cmp.Or(sim.options.SyncTime, syncTime)}
}

// fs returns the disk as a process sees it. Only writes and syncs of pebble's log take time, stall or fail: pebble makes
// other calls with its lock held, and a bubble's time stands still while any goroutine waits for a lock. Tests of package
// storage inject faults into all calls.
func (d *disk) fs() vfs.FS {
	return errorfs.Wrap(d.files, errorfs.InjectorFunc(func(op errorfs.Op) error {
		if !strings.HasSuffix(op.Path, ".log") {
			return nil
		}
		switch op.Kind {
		case errorfs.OpFileSync, errorfs.OpFileSyncData:
			time.Sleep(d.syncTime)
		case errorfs.OpFileWrite:
			if time.Since(d.start) < time.Duration(d.fullTo.Load()) {
				return syscall.ENOSPC
			}
		default:
			return nil
		}
		for {
			left := time.Duration(d.stallTo.Load()) - time.Since(d.start)
			if left <= 0 {
				return nil
			}
			time.Sleep(min(left, 100*time.Millisecond)) // the stall may be ended early
		}
	}))
}

// machine is a core machine. Its fields are guarded by the simulation's lock.
type machine struct {
	ip, node  string
	index     int
	coldStart bool
	removed   bool // permanently
	disk      *disk
	process   *process
	starts    int
}

// process is a process of a machine.
type process struct {
	host  *simnet.Host
	stop  context.CancelFunc
	ended chan struct{}
	disk  *disk
}

func (sim *Simulation) addMachine(i int, coldStart bool) *machine {
	m := &machine{ip: controllerIP(i), node: fmt.Sprint("core-", i), index: i, coldStart: coldStart,
		disk: sim.newDisk(vfs.NewCrashableMem())}
	sim.mu.Lock()
	sim.machines = append(sim.machines, m)
	sim.mu.Unlock()
	sim.processes.Go(func() {
		time.Sleep(sim.randomDuration(0, 300*time.Millisecond))
		sim.startMachine(m)
	})
	return m
}

// startMachine starts a process on what the disk holds.
func (sim *Simulation) startMachine(m *machine) {
	s := sim.settings(m.node, m.ip, m.index)
	s.Control, s.CountsLoss, s.DataDir = controlAddr(m.ip), true, "data"
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if m.removed || m.process != nil {
		return
	}
	m.starts++
	s.ColdStart = m.coldStart && m.starts == 1
	sim.disturbedAt = time.Now()
	p := &process{host: sim.net.Start(m.ip), ended: make(chan struct{}), disk: m.disk}
	var ctx context.Context
	ctx, p.stop = context.WithCancel(context.Background())
	m.process = p
	name := fmt.Sprintf("controller/%s/%d", m.node, m.starts)
	sim.processes.Go(func() {
		defer close(p.ended)
		for ctx.Err() == nil {
			c, err := controlplane.NewWithPlatform(controlplane.Platform{Network: p.host, Files: p.disk.fs(), Inject: sim.options.Inject},
				s, name, sim.logs)
			if err != nil {
				time.Sleep(500 * time.Millisecond) // the platform restarts it
				continue
			}
			err = c.Run(ctx)
			c.Close()
			if err == nil || ctx.Err() != nil {
				return
			}
			sim.mu.Lock()
			if sim.machines[m.index].process == p && !p.terminated() {
				sim.fail("%s ends by itself: %v", m.node, err)
			}
			sim.mu.Unlock()
			return
		}
	})
}

// terminated reports whether the process was killed, which is when the network refuses to listen for it.
func (p *process) terminated() bool {
	_, err := p.host.Listen("0.0.0.0:1")
	return err != nil
}

// kill ends a process at once. Its disk keeps what was written or, on a power loss, any part of what was not synced. The
// lock is held.
func (sim *Simulation) kill(m *machine, power bool) {
	p := m.process
	if p == nil {
		return
	}
	sim.disturbedAt = time.Now()
	crashConfig := vfs.CrashCloneCfg{UnsyncedDataPercent: 100, RNG: rand.New(rand.NewPCG(sim.rng.Uint64(), 1))}
	if power {
		crashConfig.UnsyncedDataPercent = sim.rng.IntN(101)
		if sim.options.AtAcknowledgement {
			crashConfig.UnsyncedDataPercent = 0
		}
		p.host.PowerOff()
	} else {
		p.host.Kill()
	}
	m.disk = sim.newDisk(p.disk.files.CrashClone(crashConfig))
	p.disk.stallTo.Store(0) // so that the remaining goroutines of the process can end
	p.disk.fullTo.Store(0)
	p.stop()
	m.process = nil
}

// wipe replaces a machine's disk with an empty one. The lock is held.
func (sim *Simulation) wipe(m *machine) {
	sim.kill(m, true)
	m.coldStart = false
	m.disk = sim.newDisk(vfs.NewCrashableMem())
}

// restartLater starts a machine again after a delay.
func (sim *Simulation) restartLater(m *machine, after time.Duration) {
	sim.processes.Go(func() {
		time.Sleep(after)
		sim.startMachine(m)
	})
}

// activeMachines returns the machines that are not removed for good. The lock is held.
func (sim *Simulation) activeMachines() (list []*machine) {
	for _, m := range sim.machines {
		if !m.removed {
			list = append(list, m)
		}
	}
	return list
}

// controlAddrs returns the control addresses, as in an operator's list.
func (sim *Simulation) controlAddrs() (addrs []string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, m := range sim.activeMachines() {
		addrs = append(addrs, controlAddr(m.ip))
	}
	return addrs
}

func (sim *Simulation) stopAll() {
	sim.mu.Lock()
	var ends []chan struct{}
	for _, m := range sim.machines {
		if m.process != nil {
			ends = append(ends, m.process.ended)
			sim.kill(m, false)
		}
	}
	for _, f := range sim.fronts {
		f.agent.kill()
		f.proxy.kill()
	}
	sim.mu.Unlock()
	for _, ended := range ends {
		<-ended
	}
	sim.processes.Wait()
}
