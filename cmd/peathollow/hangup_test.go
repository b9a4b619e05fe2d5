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

// A SIGHUP from the first moment at which the process has any say in it does not end a role that starts. Before, the
// runtime took it for the program's end until all packages had started.
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
	must.NoError(t, syscall.Mkfifo(settings, 0o600)) // it comes no further than to its settings
	p := exec.Command(os.Args[0], role)
	p.Env = append(os.Environ(), "PEATHOLLOW_TEST_PROGRAM=1", "PEATHOLLOW_SETTINGS="+settings)
	must.NoError(t, p.Start())
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	for late := time.Now().Add(30 * time.Second); !localsystem.Decided(p.Process.Pid, syscall.SIGHUP); {
		must.True(t, time.Now().Before(late))
	}
	must.NoError(t, p.Process.Signal(syscall.SIGHUP))
	// It opens its settings only if it lives; without a reader this would not return.
	opened := make(chan error, 1)
	go func() {
		f, err := os.OpenFile(settings, os.O_WRONLY, 0)
		if err == nil {
			// From here on it reads a file that says nothing, and gives up.
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
		f, err := os.OpenFile(settings, os.O_RDWR, 0) // lets the writer go
		must.NoError(t, err)
		f.Close()
		<-opened
	}
}
