// Command peathollow is one mixer on sockets.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"

	"peathollow/mixer"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "peathollow:", err)
		os.Exit(1)
	}
}

func run() error {
	// Caught before the configuration is first read: from the first instant on this signal means to read it again,
	// and would end the process if nobody listened.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	load := func() (mixer.Config, error) { return mixer.Load(os.Getenv, os.ReadFile) }
	c, err := load()
	if err != nil {
		return err
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	defer log.Sync()
	m, err := mixer.New(c, log)
	if err != nil {
		return err
	}
	m.Confine()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go m.Follow(ctx, again, load)
	return m.Run(ctx)
}
