// Package hangup keeps a process that serves from being ended by a SIGHUP that comes while it starts. The runtime ends a
// program by that signal until the program asks for it, and that is after the start of all packages: some milliseconds, and
// ten times as many on a machine of a tenth of a core. Reloading settings is planned work and may come at any moment.
//
// Before the runtime starts, the signal is set to be ignored where the arguments name a command that serves. The runtime
// leaves an ignored SIGHUP as it is until the program asks for it, which each such command does first. Other commands end by
// it as any program does. Without cgo nothing is set, and the start is as it was.
package hangup
