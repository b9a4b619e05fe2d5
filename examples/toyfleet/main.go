// Command toyfleet runs a toy discovery service and four toy searchers on loopback, for trying out a mixer.
//
// It replaces the services that the platform provides. With -mute the searcher toy-3 answers none of its parts; with
// -noise it answers a third of them with invalid bytes. With -second discovery also listens on port 8501.
package main

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"peathollow/internal/proto"
	"peathollow/internal/standin"
)

func main() {
	mute := flag.Bool("mute", false, "toy-3 takes parts and answers none")
	noise := flag.Bool("noise", false, "toy-3 answers a third of its parts with invalid bytes")
	second := flag.Bool("second", false, "discovery also listens on port 8501, so that a mixer can be moved there with SIGHUP")
	flag.Parse()
	if err := run(*mute, *noise, *second); err != nil {
		fmt.Fprintln(os.Stderr, "toyfleet:", err)
		os.Exit(1)
	}
}

func run(mute, noise, second bool) error {
	var hosts []standin.Host
	for i := range 4 {
		searcher, err := standin.NewSearcher(fmt.Sprintf("127.0.0.1:%d", 3101+i), func(proto.Call) standin.Reply {
			reply := standin.Reply{Status: 200, Delay: time.Duration(5+rand.IntN(20)) * time.Millisecond, Silent: mute && i == 3}
			if noise && i == 3 && rand.IntN(3) == 0 {
				reply.Garbage = []byte("\x40\x00\x00\x00 not an answer")
			}
			return reply
		}, nil)
		if err != nil {
			return err
		}
		defer searcher.Close()
		hosts = append(hosts, standin.Host{Host: fmt.Sprintf("toy-%d", i), Dial: searcher.Addr(), Site: "here", Class: "toy",
			Block: i, Health: "up", Share: 1})
	}
	addrs := []string{"127.0.0.1:8500", "127.0.0.1:8501"}
	if !second {
		addrs = addrs[:1]
	}
	for _, addr := range addrs {
		discovery, err := standin.NewDiscovery(addr, hosts)
		if err != nil {
			return err
		}
		defer discovery.Close()
	}
	fmt.Println("discovery on", addrs, "and searchers on 127.0.0.1:3101 to 3104; stop with Ctrl-C")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}
