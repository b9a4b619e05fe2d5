// Package client is the client library for the controllers' HTTP interface, used by the operators' commands and by any other
// program that calls a controller. It implements the rules for callers (which controller to call, when to try the next one
// and when to stop), decodes responses, validates a configuration before it is sent and compares it with the one in force.
//
// Its types are the JSON types of that interface; package controlplane encodes them, too. The program's commands, the
// simulated searchers and tests use the package. It serves nothing, stores nothing on disk, prints nothing and makes no
// decisions about the system.
package client
