package localsystem

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// HandlesSignal reports whether a process ignores or catches a signal, according to the signal masks in /proc. From exec until
// the program has set up its signal handling, the default action applies.
func HandlesSignal(pid int, s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, mask, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		bits, err := strconv.ParseUint(strings.TrimSpace(mask), 16, 64)
		if err == nil && bits>>(s-1)&1 != 0 {
			return true
		}
	}
	return false
}

// HandlesSignal reports whether the running incarnation of the process ignores or catches a signal.
func (p *Process) HandlesSignal(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && HandlesSignal(p.cmd.Process.Pid, s)
}
