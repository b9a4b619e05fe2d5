// Package manifest parses and validates the operator's configuration: its
// routes, its services and the limits for clients.
//
// Every reader of the configuration document uses this package: the control
// interface for what the operator sends, the store for what it finds on its
// disk, the mixers for what they receive from one another, and the CLI for the
// files it checks. The mixers then call Route for every request. A mixer that
// holds an earlier version receives the next one as a Patch; otherwise it receives
// the whole document, compressed by Pack.
//
// A Manifest has passed every check and is never changed afterwards. The
// package opens no sockets or files, does not decide which version is in
// force, and never reformats a document: Raw and the result of Apply are
// byte for byte what the operator sent.
package manifest
