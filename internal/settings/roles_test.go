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

// TestReadForWaitsForTheRest: a file that is cut off behind all that a role needs is read again: its bounds are to come. The code
// before took the defaults (soak seed 618: an agent that served for the default grace after SIGTERM, and was killed).
func TestReadForWaitsForTheRest(t *testing.T) {
	const whole = "node-name=front-0\nip=127.0.0.1\nzone=z\ninternal-ports=7080,7095\nseeds=127.0.0.2:1\nbounds.grace-s=2\n"
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, syscall.Mkfifo(path, 0o600)) // the first reading gets what is written here
	written := make(chan error, 1)
	go func() {
		f, err := os.OpenFile(path, os.O_WRONLY, 0)
		if err == nil {
			_, err = f.WriteString(whole[:len(whole)-len("e-s=2\n")])
			err = errors.Join(err, os.WriteFile(path+".new", []byte(whole), 0o600), os.Rename(path+".new", path), f.Close())
		}
		written <- err
	}()
	s, err := ReadFor("agent", path)
	must.NoError(t, err)
	must.NoError(t, <-written)
	must.Eq(t, 2*time.Second, s.Grace)
}

// TestReadForTakesAFileWithoutAnEnd: a file whose last line has no end, and that stays so, is one that somebody wrote so.
func TestReadForTakesAFileWithoutAnEnd(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings")
	must.NoError(t, os.WriteFile(path, []byte("node-name=front-0\nip=127.0.0.1\nzone=z\ninternal-ports=7080,7095\nseeds=127.0.0.2:1\nbounds.grace-s=3"), 0o600))
	s, err := ReadFor("agent", path)
	must.NoError(t, err)
	must.Eq(t, 3*time.Second, s.Grace)
}
