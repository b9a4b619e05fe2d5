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

// TestMain turns the test's own binary into the program, for the tests that need a process.
func TestMain(m *testing.M) {
	if os.Getenv("PEATHOLLOW_TEST_PROGRAM") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// SIGHUP before the configuration is read, and again later: the process goes on and follows discovery where the last
// reading says. The file is a pipe, so that the program is held up in the midst of its first reading.
func TestHangUpFromTheFirstInstant(t *testing.T) {
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
	tell := func(text []byte, signals ...os.Signal) {
		done := make(chan error, 1)
		go func() {
			w, err := os.OpenFile(path, os.O_WRONLY, 0) // waits for the program to open the other end
			if err == nil {                             // the next reading has a pipe of its own
				err = errors.Join(syscall.Mkfifo(path+".new", 0o600), os.Rename(path+".new", path))
				for _, s := range signals {
					p.Process.Signal(s)
				}
				w.Write(text)
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
	good := f.Config(nil)
	tell(good, syscall.SIGHUP)
	tell([]byte("no json"), syscall.SIGHUP)
	tell(bytes.Replace(good, []byte(f.Discovery.Addr()), []byte(moved.Addr().String()), 1))
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
