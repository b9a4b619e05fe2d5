// Package rig is one proxy under test, as a front machine has it: fed over loopback from a board, with faulty searchers
// behind it and clients in front that keep an account of all they sent and got. Judge holds that account against what
// the searchers saw, rule by rule, and takes nobody's word but that of the sockets.
//
// The tests of proxy use it, and those of whatever else feeds one. It never reaches into the proxy beyond its addresses,
// never sleeps to let something happen (Sync waits until the proxy itself asks for what comes next), never stands in
// for a measurement, and serves nothing but tests.
package rig
