package berths

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
	portNews              = 1 // of a controller, within its range
	rangeLength           = 8 // of the ports between the system's processes
	portControl           = rangeLength * frontsMost
	portFront             = portControl + 1
	portReady             = portControl + 2
	portProxyMetrics      = portControl + 3
	portAgentMetrics      = portControl + 4
	portControllerMetrics = portControl + 5
	portOthers            = portControl + 6 // for what the caller of Launch adds
	portReserved          = portControl + 7 // held for as long as the system is there
	portsInAll            = portControl + 8

	basesFirst = 12000 // below the ports that the kernel gives out by itself
	bases      = 350
)

func controllerIP(i int) string { return fmt.Sprintf("127.0.0.%d", 2+i) }

func frontIP(i int) string { return fmt.Sprintf("127.0.0.%d", 2+controllersMost+i) }

func at(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// reserveBase finds a port from which on all are free. They are the caller's until it closes the reservation: ports of
// processes that are down for a moment look free, and another system would take them.
func reserveBase() (base int, reservation net.Listener, err error) {
	for range 50 {
		base := basesFirst + portsInAll*rand.IntN(bases)
		reservation, err := net.Listen("tcp", at("127.0.0.1", base+portReserved))
		if err != nil {
			continue
		}
		if free(base) {
			return base, reservation, nil
		}
		reservation.Close()
	}
	return 0, nil, errors.New("no free ports on loopback")
}

func free(base int) bool {
	for i := range 1 + controllersMost + frontsMost {
		for p := range portReserved {
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
