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
	return leaf(&cli.Command{Name: "serve", Usage: "Serve as one mixer (the default without a command)", Flags: []cli.Flag{
		&cli.StringFlag{Name: "settings", Usage: "settings `FILE` (INI); default: the value of PEATHOLLOW_SETTINGS",
			Local: true}}}, 0, 0,
		func(_ context.Context, c *cli.Command) error {
			path := c.String("settings")
			if path == "" {
				path = c.Root().String("settings") // given before the command's name
			}
			return runServe(environment(path))
		})
}

// environment returns a lookup of environment variables in which a settings file given by a flag takes precedence.
func environment(settings string) func(string) string {
	return func(key string) string {
		if key == "PEATHOLLOW_SETTINGS" && settings != "" {
			return settings
		}
		return os.Getenv(key)
	}
}

func runServe(env func(string) string) error {
	// SIGHUP requests a reload from the start of the process. Without a handler it would end the process, so the handler is
	// installed before the configuration is first read.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	load := func() (mixer.Config, error) { return mixer.Load(env, os.ReadFile) }
	c, err := load()
	if err != nil {
		return err
	}
	log, err := logger(c.Options.Log.Level)
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
	go m.ReloadOnSignal(ctx, reload, load)
	return m.Run(ctx)
}

// logger returns a logger that writes JSON lines to standard error.
func logger(level string) (*zap.Logger, error) {
	atomicLevel, err := zap.ParseAtomicLevel(level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	c := zap.NewProductionConfig()
	c.Level = atomicLevel
	return c.Build()
}
