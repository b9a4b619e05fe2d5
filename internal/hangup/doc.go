// Package hangup prevents a SIGHUP that arrives during startup from terminating a serving process. The Go runtime lets the
// signal terminate a program until the program calls signal.Notify, which happens only after all packages are initialized:
// some milliseconds after the start, and ten times as many on a machine with a tenth of a core. Operators reload the
// settings by SIGHUP in routine maintenance, so the signal may arrive at any time.
//
// If the arguments name a command that serves, the signal is set to be ignored before the runtime starts. The runtime
// leaves an ignored SIGHUP alone until the program calls signal.Notify, which each such command does first. Other
// commands are terminated by the signal as usual. Without cgo nothing is set, and the process can be terminated while
// it starts.
package hangup
