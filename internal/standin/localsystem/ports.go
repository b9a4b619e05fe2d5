package localsystem

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"

	"github.com/go-faster/errors"
)

// Each machine has its own loopback address, so that all machines can use the same ports. An agent, however, serves its
// proxy at 127.0.0.1, as on real machines. Each front therefore has its own range of internal ports. It expects the
// controllers in its seeds to use that same range, so a relay forwards these ports to the real ones of the controllers.

const (
	rangeLength      = 8 // of a front's internal ports, and of the ports that are the same on all machines
	portDistribution = 1 // distribution port of a controller, within its range
	rangeReserved    = 7 // of each range; held open for the lifetime of the system

	// Ports that are the same on all machines, in the range after those of the fronts.
	portControl           = 0
	portFront             = 1
	portReady             = 2
	portProxyMetrics      = 3
	portAgentMetrics      = 4
	portControllerMetrics = 5
	portOthers            = 6 // for listeners that the caller of Launch adds

	minPort = 12000
	endPort = 32768 // start of the kernel's range of ephemeral ports
)

func controllerIP(i int) string { return fmt.Sprintf("127.0.0.%d", 2+i) }

func frontIP(i int) string { return fmt.Sprintf("127.0.0.%d", 2+maxControllers+i) }

func joinAddress(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// reserveBase finds the first of a block of free ports that is large enough for a system with the given number of fronts.
// The caller holds a listener in each range of the block until it closes the reservations. Without them, another system could
// take the ports of processes that are down for a moment.
func reserveBase(fronts int) (base int, reservations []net.Listener, err error) {
	ranges := fronts + 1
	for range 50 {
		base := minPort + rangeLength*rand.IntN((endPort-minPort)/rangeLength-ranges)
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

// reserve listens on one port of each range. It returns nil if one of these ports is taken.
func reserve(base, ranges int) (held []net.Listener) {
	for i := range ranges {
		ln, err := net.Listen("tcp", joinAddress("127.0.0.1", base+i*rangeLength+rangeReserved))
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

// free reports whether all ports of the ranges but the reserved ones are free on all loopback addresses of the machines.
func free(base, ranges int) bool {
	for i := range 1 + maxControllers + ranges {
		for p := range ranges * rangeLength {
			if p%rangeLength == rangeReserved {
				continue
			}
			ln, err := net.Listen("tcp", joinAddress(fmt.Sprintf("127.0.0.%d", 1+i), base+p))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

// relay forwards connections to an address until the listener is closed.
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
