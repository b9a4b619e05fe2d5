package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPartialSettingsStartNothing checks that a role doesn't start with a settings file that is only partly written: it waits
// for the rest for a while and then reports what is missing. It used to serve on default ports and in a default folder; in
// soak seed 339 a controller of one system became primary of another through state that it found in its working directory.
func TestPartialSettingsStartNothing(t *testing.T) {
	for role, missing := range map[string]string{"proxy": "bind-addrs.front", "controller": "bind-addrs.control", "agent": "seeds"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			file := filepath.Join(dir, "settings")
			partial := "node-name=front-0\nrole=" + role + "\nip=127.0.0.1\nzone=z\ninternal-ports=7080,7095\nserves=fro"
			must.NoError(t, os.WriteFile(file, []byte(partial), 0o600))
			p := exec.Command(os.Args[0], role)
			p.Dir = dir
			p.Env = append(os.Environ(), "PEATHOLLOW_TEST_PROGRAM=1", "PEATHOLLOW_SETTINGS="+file)
			stderr := &bytes.Buffer{}
			p.Stderr = stderr
			must.NoError(t, p.Start())
			ended := make(chan error, 1)
			go func() { ended <- p.Wait() }()
			const exitTimeout = 15 * time.Second
			select {
			case err := <-ended:
				must.Error(t, err)
				must.StrContains(t, stderr.String(), fmt.Sprintf("%s: missing", missing))
			case <-time.After(exitTimeout):
				p.Process.Kill()
				<-ended
				t.Error("the process serves with incomplete settings")
			}
			files, err := os.ReadDir(dir)
			must.NoError(t, err)
			must.Len(t, 1, files) // nothing was written to the working directory
		})
	}
}
