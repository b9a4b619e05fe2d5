package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"peathollow/mixer"
)

func serve() *cli.Command {
	return leaf(&cli.Command{Name: "serve", Usage: "Serve as one mixer (also what the bare program does)", Flags: []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (INI); PEATHOLLOW_SETTINGS stands in for it", Local: true}}}, 0, 0,
		func(_ context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				path = c.Root().String("settings") // before the command's name
			}
			return runServe(environment(path))
		})
}

// environment is the process's own, with a settings file named by a flag.
func environment(settings string) func(string) string {
	return func(key string) string {
		if key == "PEATHOLLOW_SETTINGS" && settings != "" {
			return settings
		}
		return os.Getenv(key)
	}
}

func runServe(env func(string) string) error {
	// Caught before the configuration is first read: from the first instant on this signal means to read it again,
	// and would end the process if nobody listened.
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	load := func() (mixer.Config, error) { return mixer.Load(env, os.ReadFile) }
	c, err := load()
	if err != nil {
		return err
	}
	log, err := logger(c.Ours.Log.Level)
	if err != nil {
		return err
	}
	defer log.Sync()
	m, err := mixer.New(c, log)
	if err != nil {
		return err
	}
	m.SetProcessLimits()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go m.ReloadOnSignal(ctx, again, load)
	return m.Run(ctx)
}

// logger writes JSON lines to standard error.
func logger(level string) (*zap.Logger, error) {
	at, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionConfig()
	c.Level = at
	return c.Build()
}
