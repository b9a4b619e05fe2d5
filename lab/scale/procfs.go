package scale

import (
	"bytes"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// usage is what one of our children has taken so far.
type usage struct {
	cpu       time.Duration
	peak, now int64 // bytes of memory
}

// read adds up the threads' run times: the processor time in stat comes in hundredths of a second, too coarse for a
// process that takes a few thousandths of a core.
func read(pid int) (u usage, err error) {
	tasks, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "schedstat"))
	if err != nil {
		return u, errors.Wrap(err, "threads")
	}
	for _, t := range tasks {
		b, err := os.ReadFile(t)
		if err != nil {
			continue // the thread has ended
		}
		d, err := runTime(b)
		if err != nil {
			return u, errors.Wrap(err, t)
		}
		u.cpu += d
	}
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return u, errors.Wrap(err, "memory")
	}
	if u.peak, err = kilobytes(b, "VmHWM"); err == nil {
		u.now, err = kilobytes(b, "VmRSS")
	}
	if err != nil {
		return u, errors.Wrapf(err, "process %d", pid)
	}
	return u, nil
}

// runTime reads the first field of a thread's schedstat.
func runTime(b []byte) (time.Duration, error) {
	f := bytes.Fields(b)
	if len(f) != 3 {
		return 0, errors.Errorf("three fields expected, got %q", b)
	}
	n, err := strconv.ParseInt(string(f[0]), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "run time")
	}
	return time.Duration(n), nil
}

// kilobytes finds a line like "VmHWM:    1234 kB".
func kilobytes(status []byte, key string) (int64, error) {
	for l := range strings.Lines(string(status)) {
		rest, ok := strings.CutPrefix(l, key+":")
		if !ok {
			continue
		}
		f := strings.Fields(rest)
		if len(f) != 2 || f[1] != "kB" {
			return 0, errors.Errorf("%s: a number of kB expected, got %q", key, strings.TrimSpace(rest))
		}
		n, err := strconv.ParseInt(f[0], 10, 64)
		return n << 10, err
	}
	return 0, errors.Errorf("%s: missing", key)
}

// inodes lists the sockets that a process has open.
func inodes(pid int) map[uint32]bool {
	own := map[uint32]bool{}
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	list, err := os.ReadDir(dir)
	if err != nil {
		return own
	}
	for _, e := range list {
		to, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err != nil {
			continue
		}
		if no, ok := strings.CutPrefix(to, "socket:["); ok {
			if n, err := strconv.ParseUint(strings.TrimSuffix(no, "]"), 10, 32); err == nil {
				own[uint32(n)] = true
			}
		}
	}
	return own
}

// loadAverage is the machine's, for the conditions of a run.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(b))[:3], " ")
}
