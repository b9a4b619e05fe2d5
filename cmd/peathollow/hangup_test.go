package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"peathollow/internal/standin/localsystem"
)

// TestHangUpWhileARoleStarts checks that a SIGHUP doesn't end a role while it starts, from the first moment at which the
// process can handle signals. The signal used to end the process until all packages were initialized.
func TestHangUpWhileARoleStarts(t *testing.T) {
	for _, role := range []string{"proxy", "agent", "controller"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			hangUpWhileItStarts(t, role)
		})
	}
}

func hangUpWhileItStarts(t *testing.T, role string) {
	settings := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, syscall.Mkfifo(settings, 0o600)) // the process blocks when it opens its settings
	p := exec.Command(os.Args[0], role)
	p.Env = append(os.Environ(), "PEATHOLLOW_TEST_PROGRAM=1", "PEATHOLLOW_SETTINGS="+settings)
	must.NoError(t, p.Start())
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	for deadline := time.Now().Add(30 * time.Second); !localsystem.HandlesSignal(p.Process.Pid, syscall.SIGHUP); {
		must.True(t, time.Now().Before(deadline))
	}
	must.NoError(t, p.Process.Signal(syscall.SIGHUP))
	// The process opens its settings only if it has survived the signal; without a reader OpenFile would block.
	opened := make(chan error, 1)
	go func() {
		f, err := os.OpenFile(settings, os.O_WRONLY, 0)
		if err == nil {
			// From here on the process reads an empty file and exits with an error.
			err = errors.Join(os.WriteFile(settings+".empty", nil, 0o600), os.Rename(settings+".empty", settings), f.Close())
		}
		opened <- err
	}()
	select {
	case err := <-opened:
		must.NoError(t, err)
		must.Error(t, <-ended)
	case err := <-ended:
		t.Errorf("%s ended with %v", role, err)
		f, err := os.OpenFile(settings, os.O_RDWR, 0) // unblocks the writer
		must.NoError(t, err)
		f.Close()
		<-opened
	}
}
