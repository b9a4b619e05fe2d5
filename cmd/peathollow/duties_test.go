package main

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

// TestDutiesSurviveKilledAndStoppedProcesses checks that three processes that share the probes of four readers keep probing
// each of them while one process is killed and another is stopped and continued, and that no reader is probed twice as often
// as intended in any window of eight intervals. Times are measured at the readers; the waits only bound a failed run.
func TestDutiesSurviveKilledAndStoppedProcesses(t *testing.T) {
	const interval = 400 * time.Millisecond
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var mu sync.Mutex
	probes := make([][]time.Time, 4)
	for i, s := range f.Searchers {
		s.OnProbe(func(byte) {
			mu.Lock()
			defer mu.Unlock()
			probes[i] = append(probes[i], time.Now())
		})
	}
	probedSince := func(from time.Time, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, times := range probes {
			k := 0
			for _, probe := range times {
				if probe.After(from) {
					k++
				}
			}
			if k < n {
				return false
			}
		}
		return true
	}
	waitProbed := func(what string, from time.Time, n int) {
		t.Helper()
		for deadline := time.Now().Add(30 * time.Second); !probedSince(from, n); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: not all readers probed %d times", what, n)
			}
		}
	}
	harness := startProcesses(t, 3, f, nil, fmt.Sprintf("[duties]\non = yes\ninterval = %v\nyoung = 0s\n", interval))
	processes := harness.Processes
	waitProbed("three", time.Time{}, 6)
	processes[0].Kill()
	waitProbed("one killed", time.Now(), 3)
	processes[1].Signal(syscall.SIGSTOP)
	waitProbed("one killed, one stopped", time.Now(), 1) // by out-of-lease runs of the last process
	processes[1].Signal(syscall.SIGCONT)
	waitProbed("continued", time.Now(), 4)
	processes[1].Signal(syscall.SIGTERM)
	if err := processes[1].Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
	mu.Lock()
	defer mu.Unlock()
	for i, times := range probes {
		for first := range times {
			n := 0
			for last := first; last < len(times) && times[last].Sub(times[first]) < 8*interval; last++ {
				n++
			}
			if n >= 16 {
				t.Errorf("reader %d probed %d times in eight intervals", i, n)
			}
		}
	}
}
