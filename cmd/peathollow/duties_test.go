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

// Three processes share the probes of four readers; one is killed outright, another stopped and continued. Each reader
// goes on being probed, and over all of it in no window of eight intervals twice as often as intended. Times come from
// the readers' side; waits only end what would never come.
func TestThreeProcessesKilledAndStopped(t *testing.T) {
	const interval = 400 * time.Millisecond
	f, err := standin.NewFleet(4, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	var mu sync.Mutex
	at := make([][]time.Time, 4)
	for i, s := range f.Searchers {
		s.OnProbe(func(byte) {
			mu.Lock()
			defer mu.Unlock()
			at[i] = append(at[i], time.Now())
		})
	}
	since := func(from time.Time, n int) bool {
		mu.Lock()
		defer mu.Unlock()
		for _, seen := range at {
			k := 0
			for _, x := range seen {
				if x.After(from) {
					k++
				}
			}
			if k < n {
				return false
			}
		}
		return true
	}
	until := func(what string, from time.Time, n int) {
		t.Helper()
		for over := time.Now().Add(30 * time.Second); !since(from, n); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(over) {
				t.Fatalf("%s: not all readers probed %d times", what, n)
			}
		}
	}
	h := started(t, 3, f, nil, fmt.Sprintf("[duties]\non = yes\ninterval = %v\nyoung = 0s\n", interval))
	all := h.Processes
	until("three", time.Time{}, 6)
	all[0].Kill()
	until("one killed", time.Now(), 3)
	all[1].Signal(syscall.SIGSTOP)
	until("one killed, one stopped", time.Now(), 1) // by turns of the last
	all[1].Signal(syscall.SIGCONT)
	until("continued", time.Now(), 4)
	all[1].Signal(syscall.SIGTERM)
	if err := all[1].Wait(); err != nil {
		t.Errorf("SIGTERM: %v", err)
	}
	mu.Lock()
	defer mu.Unlock()
	for i, seen := range at {
		for k := range seen {
			n := 0
			for j := k; j < len(seen) && seen[j].Sub(seen[k]) < 8*interval; j++ {
				n++
			}
			if n >= 16 {
				t.Errorf("reader %d probed %d times in eight intervals", i, n)
			}
		}
	}
}
