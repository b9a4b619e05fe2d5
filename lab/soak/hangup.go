package soak

import (
	"syscall"
	"time"

	"peathollow/internal/standin/localsystem"
)

// hangUp tells a process that its settings have changed.
func hangUp(p *localsystem.Process) {
	awaitSay(p, syscall.SIGHUP)
	p.Signal(syscall.SIGHUP)
}

// awaitSay waits until a process has a say in what a SIGHUP does to it: from its exec until its loader is through no program has.
func awaitSay(p *localsystem.Process, s syscall.Signal) {
	if s != syscall.SIGHUP {
		return
	}
	for late := time.Now().Add(graceTime); !p.Decided(s) && time.Now().Before(late); {
		time.Sleep(earlyLookEvery)
	}
}
