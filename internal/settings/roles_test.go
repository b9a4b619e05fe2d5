package settings

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestReadForRoleWaitsForTheRest checks that a file which is truncated after all settings that a role needs is read again,
// since its bounds are still missing. An earlier version took the defaults (soak seed 618: an agent served for the default
// grace period after SIGTERM, and was killed).
func TestReadForRoleWaitsForTheRest(t *testing.T) {
	const whole = "node-name=front-0\nip=127.0.0.1\nzone=z\ninternal-ports=7080,7095\nseeds=127.0.0.2:1\nbounds.grace-s=2\n"
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, syscall.Mkfifo(path, 0o600)) // the first read gets the truncated text
	written := make(chan error, 1)
	go func() {
		f, err := os.OpenFile(path, os.O_WRONLY, 0)
		if err == nil {
			_, err = f.WriteString(whole[:len(whole)-len("e-s=2\n")])
			err = errors.Join(err, os.WriteFile(path+".new", []byte(whole), 0o600), os.Rename(path+".new", path), f.Close())
		}
		written <- err
	}()
	s, err := ReadForRole("agent", path)
	must.NoError(t, err)
	must.NoError(t, <-written)
	must.Eq(t, 2*time.Second, s.Grace)
}

// TestReadForRoleAcceptsMissingNewline checks that a file whose last line stays without a newline is accepted.
func TestReadForRoleAcceptsMissingNewline(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, os.WriteFile(path, []byte("node-name=front-0\nip=127.0.0.1\nzone=z\ninternal-ports=7080,7095\nseeds=127.0.0.2:1\nbounds.grace-s=3"), 0o600))
	s, err := ReadForRole("agent", path)
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, s.Grace)
}
