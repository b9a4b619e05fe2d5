package localsystem

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
)

// Decided tells whether a process has decided what a signal does to it, by the masks that the kernel shows. Before that, from
// its exec until its loader is through, no program has a say.
func Decided(pid int, s syscall.Signal) bool {
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

// Decided tells so of the present life.
func (p *Process) Decided(s syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil && Decided(p.cmd.Process.Pid, s)
}
