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

// usage is the CPU time that a process has used so far, and its memory.
type usage struct {
	cpu                time.Duration
	peakMemory, memory int64 // resident bytes
}

// readUsage sums the run times of the process's threads from schedstat: CPU time in stat has a resolution of 10 ms, too coarse for
// a process that uses a few thousandths of a core.
func readUsage(pid int) (u usage, err error) {
	tasks, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "schedstat"))
	if err != nil {
		return u, errors.Wrap(err, "threads")
	}
	for _, path := range tasks {
		b, err := os.ReadFile(path)
		if err != nil {
			continue // the thread has ended
		}
		elapsed, err := runTime(b)
		if err != nil {
			return u, errors.Wrap(err, path)
		}
		u.cpu += elapsed
	}
	b, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return u, errors.Wrap(err, "memory")
	}
	if u.peakMemory, err = memoryBytes(b, "VmHWM"); err == nil {
		u.memory, err = memoryBytes(b, "VmRSS")
	}
	if err != nil {
		return u, errors.Wrapf(err, "process %d", pid)
	}
	return u, nil
}

// runTime parses the first field of a thread's schedstat: the time spent on a CPU, in nanoseconds.
func runTime(b []byte) (time.Duration, error) {
	fields := bytes.Fields(b)
	if len(fields) != 3 {
		return 0, errors.Errorf("three fields expected, got %q", b)
	}
	nanoseconds, err := strconv.ParseInt(string(fields[0]), 10, 64)
	if err != nil {
		return 0, errors.Wrap(err, "run time")
	}
	return time.Duration(nanoseconds), nil
}

// memoryBytes finds a line such as "VmHWM:    1234 kB" and returns its value in bytes.
func memoryBytes(status []byte, key string) (int64, error) {
	for line := range strings.Lines(string(status)) {
		rest, ok := strings.CutPrefix(line, key+":")
		if !ok {
			continue
		}
		fields := strings.Fields(rest)
		if len(fields) != 2 || fields[1] != "kB" {
			return 0, errors.Errorf("%s: a number of kB expected, got %q", key, strings.TrimSpace(rest))
		}
		kib, err := strconv.ParseInt(fields[0], 10, 64)
		return kib << 10, err
	}
	return 0, errors.Errorf("%s: missing", key)
}

// socketInodes returns the inodes of the sockets that a process has open.
func socketInodes(pid int) map[uint32]bool {
	owned := map[uint32]bool{}
	dir := filepath.Join("/proc", strconv.Itoa(pid), "fd")
	entries, err := os.ReadDir(dir)
	if err != nil {
		return owned
	}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(dir, entry.Name()))
		if err != nil {
			continue
		}
		if number, ok := strings.CutPrefix(target, "socket:["); ok {
			if inode, err := strconv.ParseUint(strings.TrimSuffix(number, "]"), 10, 32); err == nil {
				owned[uint32(inode)] = true
			}
		}
	}
	return owned
}

// loadAverage returns the machine's load averages, which a report lists as a condition of the run.
func loadAverage() string {
	b, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(b))[:3], " ")
}
