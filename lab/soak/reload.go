package soak

import (
	"syscall"
	"time"

	"peathollow/internal/standin/localsystem"
)

// signalReload makes a process reload its settings.
func signalReload(p *localsystem.Process) {
	awaitSignalHandler(p, syscall.SIGHUP)
	p.Signal(syscall.SIGHUP)
}

// awaitSignalHandler waits until a process has decided how to handle SIGHUP. From exec until its loader has
// finished no program can.
func awaitSignalHandler(p *localsystem.Process, s syscall.Signal) {
	if s != syscall.SIGHUP {
		return
	}
	for deadline := time.Now().Add(terminateTimeout); !p.HandlesSignal(s) && time.Now().Before(deadline); {
		time.Sleep(signalPollInterval)
	}
}
