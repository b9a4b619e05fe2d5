// Command toyfleet is a toy discovery service and four toy searchers on loopback, to try a mixer with.
//
// It stands in for what the platform provides. One of its searchers, toy-3, can be made to say nothing with
// -mute, or to answer a third of its parts with noise with -noise. With -second discovery is on port 8501 as well.
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
	noise := flag.Bool("noise", false, "toy-3 answers a third of its parts with noise")
	second := flag.Bool("second", false, "discovery is on port 8501 as well, to move a mixer there with SIGHUP")
	flag.Parse()
	if err := run(*mute, *noise, *second); err != nil {
		fmt.Fprintln(os.Stderr, "toyfleet:", err)
		os.Exit(1)
	}
}

func run(mute, noise, second bool) error {
	var hosts []standin.Host
	for i := range 4 {
		s, err := standin.NewSearcher(fmt.Sprintf("127.0.0.1:%d", 3101+i), func(proto.Call) standin.Reply {
			r := standin.Reply{Status: 200, Delay: time.Duration(5+rand.IntN(20)) * time.Millisecond, Silent: mute && i == 3}
			if noise && i == 3 && rand.IntN(3) == 0 {
				r.Garbage = []byte("\x40\x00\x00\x00 not an answer")
			}
			return r
		}, nil)
		if err != nil {
			return err
		}
		defer s.Close()
		hosts = append(hosts, standin.Host{Host: fmt.Sprintf("toy-%d", i), Dial: s.Addr(), Site: "here", Class: "toy",
			Block: i, Health: "up", Share: 1})
	}
	addrs := []string{"127.0.0.1:8500", "127.0.0.1:8501"}
	if !second {
		addrs = addrs[:1]
	}
	for _, addr := range addrs {
		d, err := standin.NewDiscovery(addr, hosts)
		if err != nil {
			return err
		}
		defer d.Close()
	}
	fmt.Println("discovery on", addrs, "and searchers on 127.0.0.1:3101 to 3104; stop with Ctrl-C")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	<-stop
	return nil
}
