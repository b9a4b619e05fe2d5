package localsystem

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"

	"github.com/go-faster/errors"
)

// Each machine has a loopback address of its own, so that all can have the same ports. But an agent serves its proxy at
// 127.0.0.1, as on real machines; so each front has a range of ports of its own, and finds the controllers of its seeds,
// which it takes for machines with its own ports, through a relay.

const (
	rangeLength   = 8 // of a front's ports between the system's processes, and of those that all machines have alike
	portNews      = 1 // of a controller, within its range
	rangeReserved = 7 // of each range; held for as long as the system is there

	// Those that all machines have alike, behind the fronts' ranges.
	portControl           = 0
	portFront             = 1
	portReady             = 2
	portProxyMetrics      = 3
	portAgentMetrics      = 4
	portControllerMetrics = 5
	portOthers            = 6 // for what the caller of Launch adds

	portsFirst = 12000
	portsEnd   = 32768 // from there on the kernel gives out ports by itself
)

func controllerIP(i int) string { return fmt.Sprintf("127.0.0.%d", 2+i) }

func frontIP(i int) string { return fmt.Sprintf("127.0.0.%d", 2+controllersMost+i) }

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// reserveBase finds a port from which on all are free that a system with so many fronts needs. Each range of them is the caller's until it
// closes the reservations: ports of processes that are down for a moment look free, and another system would take them.
func reserveBase(fronts int) (base int, reservations []net.Listener, err error) {
	ranges := fronts + 1
	for range 50 {
		base := portsFirst + rangeLength*rand.IntN((portsEnd-portsFirst)/rangeLength-ranges)
		if reservations = reserve(base, ranges); reservations == nil {
			continue
		}
		if free(base, ranges) {
			return base, reservations, nil
		}
		closeAll(reservations)
	}
	return 0, nil, errors.New("no free ports on loopback")
}

// reserve holds one port of each range; nil if somebody else has one.
func reserve(base, ranges int) (held []net.Listener) {
	for i := range ranges {
		ln, err := net.Listen("tcp", at("127.0.0.1", base+i*rangeLength+rangeReserved))
		if err != nil {
			closeAll(held)
			return nil
		}
		held = append(held, ln)
	}
	return held
}

func closeAll(all []net.Listener) {
	for _, ln := range all {
		ln.Close()
	}
}

func free(base, ranges int) bool {
	for i := range 1 + controllersMost + ranges {
		for p := range ranges * rangeLength {
			if p%rangeLength == rangeReserved {
				continue
			}
			ln, err := net.Listen("tcp", at(fmt.Sprintf("127.0.0.%d", 1+i), base+p))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// relay passes connections on till the listener is closed.
func relay(ln net.Listener, to string) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			out, err := net.Dial("tcp", to)
			if err != nil {
				return
			}
			defer out.Close()
			go func() {
				io.Copy(out, in)
				out.Close()
				in.Close()
			}()
			io.Copy(in, out)
		}()
	}
}
