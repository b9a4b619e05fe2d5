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
	c, err := mixer.Load(os.Getenv, os.ReadFile)
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
	return m.Run(ctx)
}
