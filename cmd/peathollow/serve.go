package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"peathollow/mixer"
)

func serve() *cobra.Command {
	var settings string
	c := &cobra.Command{Use: "serve", Short: "Serve as one mixer (also what the bare program does)", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return runServe(environment(settings)) }}
	c.Flags().StringVar(&settings, "settings", "", "settings file (INI); PEATHOLLOW_SETTINGS stands in for it")
	return c
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
	m.Confine()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	go m.Follow(ctx, again, load)
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
