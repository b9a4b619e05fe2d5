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

// TestTornSettingsStartNothing: a role whose settings file is half written does not start on what is there of it: it waits a
// while for the rest, then says what is missing. The code before served on ports and in a folder of its own choice; soak seed
// 339 had a controller of one system lead another by state that it found in its working directory.
func TestTornSettingsStartNothing(t *testing.T) {
	for role, missing := range map[string]string{"proxy": "bind-addrs.front", "controller": "bind-addrs.control", "agent": "seeds"} {
		t.Run(role, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			file := filepath.Join(dir, "settings")
			torn := "node-name=front-0\nrole=" + role + "\nip=127.0.0.1\nzone=z\ninternal-ports=7080,7095\nserves=fro"
			must.NoError(t, os.WriteFile(file, []byte(torn), 0o600))
			p := exec.Command(os.Args[0], role)
			p.Dir = dir
			p.Env = append(os.Environ(), "PEATHOLLOW_TEST_PROGRAM=1", "PEATHOLLOW_SETTINGS="+file)
			said := &bytes.Buffer{}
			p.Stderr = said
			must.NoError(t, p.Start())
			ended := make(chan error, 1)
			go func() { ended <- p.Wait() }()
			const most = 15 * time.Second
			select {
			case err := <-ended:
				must.Error(t, err)
				must.StrContains(t, said.String(), fmt.Sprintf("%s: missing", missing))
			case <-time.After(most):
				p.Process.Kill()
				<-ended
				t.Error("it serves on half of its settings")
			}
			files, err := os.ReadDir(dir)
			must.NoError(t, err)
			must.Len(t, 1, files) // it kept nothing where it stood
		})
	}
}
