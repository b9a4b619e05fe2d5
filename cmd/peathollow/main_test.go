package main

import (
	"bytes"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

// TestMain runs the program instead of the tests if PEATHOLLOW_TEST_PROGRAM is set, for tests that start processes.
func TestMain(m *testing.M) {
	if os.Getenv("PEATHOLLOW_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// TestHangUpDuringFirstLoad checks that a process survives SIGHUP before and after it has read its configuration, and that it
// uses the discovery address of the latest valid configuration. The configuration file is a named pipe, which blocks the
// process in the middle of its first read.
func TestHangUpDuringFirstLoad(t *testing.T) {
	f, err := standin.NewFleet(2, func(int, proto.Call) standin.Reply { return standin.Reply{Status: 200} }, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	moved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer moved.Close()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := exec.Command(os.Args[0])
	p.Env = append(os.Environ(), "PEATHOLLOW_TEST_PROGRAM=1", "ROUTER_CONFIG="+path)
	p.Stderr = os.Stderr
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- p.Wait() }()
	serveConfig := func(content []byte, signals ...os.Signal) {
		done := make(chan error, 1)
		go func() {
			w, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program opens the other end
			if err == nil {                             // the next read gets a new pipe
				err = errors.Join(syscall.Mkfifo(path+".new", 0o600), os.Rename(path+".new", path))
				for _, s := range signals {
					p.Process.Signal(s)
				}
				w.Write(content)
				err = errors.Join(err, w.Close())
			}
			done <- err
		}()
		select {
		case err := <-done:
			if err != nil {
				t.Fatal(err)
			}
		case err := <-ended:
			t.Fatalf("ended with %v", err)
		}
	}
	valid := f.Config(nil)
	serveConfig(valid, syscall.SIGHUP)
	serveConfig([]byte("no json"), syscall.SIGHUP)
	serveConfig(bytes.Replace(valid, []byte(f.Discovery.Addr()), []byte(moved.Addr().String()), 1))
	if c, err := moved.Accept(); err != nil {
		t.Error(err)
	} else {
		c.Close()
	}
	p.Process.Signal(syscall.SIGTERM)
	if err := <-ended; err != nil {
		t.Errorf("ended with %v", err)
	}
}
