package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"peathollow/agent"
	"peathollow/controlplane"
	"peathollow/internal/figures"
	_ "peathollow/internal/hangup" // a SIGHUP during the start ends no role
	"peathollow/internal/invariant"
	"peathollow/internal/logbound"
	"peathollow/internal/settings"
	"peathollow/proxy"
)

// The processes of the whole system: a proxy and an agent on each front machine, a controller on each core machine.

// process is one of them, ready to run.
type process interface {
	Run(ctx context.Context) error
}

func systemCommands() []*cli.Command {
	// The former names of the roles are kept as aliases.
	role := func(name, formerName, usage string, build func(s *settings.Settings, life string, l *log.Logger) (process, error)) *cli.Command {
		metrics := ""
		return &cli.Command{Name: name, Aliases: []string{formerName}, Usage: usage,
			Flags: []cli.Flag{&cli.StringFlag{Name: "metrics", Destination: &metrics,
				Usage: "tell the process's figures as text at `PORT/PATH` of this machine's address"}},
			Action: func(ctx context.Context, _ *cli.Command) error {
				return runProcess(ctx, name, metrics, build)
			}}
	}
	return []*cli.Command{
		role("proxy", "quay", "Carry clients' requests to searchers (a front machine's proxy)",
			func(s *settings.Settings, life string, l *log.Logger) (process, error) {
				return proxy.New(s, life, l), nil
			}),
		role("agent", "tender", "Keep a front machine's link to the control plane and feed its proxy",
			func(s *settings.Settings, life string, l *log.Logger) (process, error) {
				return agent.New(s, life, l), nil
			}),
		role("controller", "harbour", "Serve searchers and operators (a core machine)",
			func(s *settings.Settings, life string, l *log.Logger) (process, error) {
				return controlplane.New(s, life, l)
			}),
	}
}

// violationLines is how many violations of invariants a second get a line in the log; all are counted.
const violationLines = 10

func runProcess(ctx context.Context, name, metrics string, build func(*settings.Settings, string, *log.Logger) (process, error)) error {
	signal.Ignore(syscall.SIGPIPE)
	again := notify(syscall.SIGHUP)
	s, err := settings.ReadFor(name, settings.FromEnvironment(os.Getenv))
	if err != nil {
		return err
	}
	if metrics != "" {
		if s.Metrics, err = figures.ParseAddress(metrics); err != nil {
			return coded{err, exitUsage}
		}
	}
	tuneMemory(s, name)
	l := newLog(os.Getenv("PEATHOLLOW_LOG"))
	lines := &logbound.Limiter{PerSecond: violationLines}
	invariant.OnViolation(func(name invariant.Name, saw string) {
		if ok, suppressed := lines.Allow(time.Now()); ok {
			l.Error().Str("event", "invariant").Str("name", string(name)).Str("saw", saw).Int("not-logged", suppressed).Msg("")
		}
	})
	var nonce [4]byte
	rand.Read(nonce[:])
	p, err := build(s, name+"/"+s.Node+"/"+hex.EncodeToString(nonce[:]), l)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	go func() {
		for range again {
			// What a process is told of itself takes effect at its next start; the file is read to say whether it would.
			if _, err := settings.ReadFor(name, settings.FromEnvironment(os.Getenv)); err != nil {
				l.Error().Str("event", "settings").Err(err).Msg("")
			} else {
				l.Info().Str("event", "settings").Msg("")
			}
		}
	}()
	return p.Run(ctx)
}

func notify(s os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// tuneMemory bounds the heap: a process over its memory is killed, and none of this can be told by an environment.
// Processor time is worth more than memory where each request allocates, and less where little happens.
func tuneMemory(s *settings.Settings, role string) {
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 6 / 10)
	debug.SetGCPercent(50)
	if role == "proxy" {
		debug.SetGCPercent(200)
	}
}

// newLog writes a line of key=value pairs for each event to standard error.
func newLog(level string) *log.Logger {
	l := &log.Logger{Level: log.InfoLevel, TimeFormat: "15:04:05.000", Writer: &log.ConsoleWriter{Writer: os.Stderr,
		Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter}}
	if level != "" {
		l.Level = log.ParseLevel(level)
	}
	return l
}
