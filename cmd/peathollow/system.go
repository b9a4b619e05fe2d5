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
	"peathollow/internal/exporter"
	_ "peathollow/internal/hangup" // ignores SIGHUP while the process starts, so that it doesn't end the process
	"peathollow/internal/invariant"
	"peathollow/internal/logbound"
	"peathollow/internal/settings"
	"peathollow/proxy"
)

// process is one process of the search front: a proxy or an agent (one of each on every front machine) or a controller.
type process interface {
	Run(ctx context.Context) error
}

func systemCommands() []*cli.Command {
	// The former names of the roles are kept as aliases.
	role := func(name, formerName, usage string,
		build func(s *settings.Settings, incarnation string, l *log.Logger) (process, error)) *cli.Command {
		metrics := ""
		return &cli.Command{Name: name, Aliases: []string{formerName}, Usage: usage,
			Flags: []cli.Flag{&cli.StringFlag{Name: "metrics", Destination: &metrics,
				Usage: "serve the process's metrics as text at `PORT/PATH` on this machine's address"}},
			Action: func(ctx context.Context, _ *cli.Command) error {
				return runProcess(ctx, name, metrics, build)
			}}
	}
	return []*cli.Command{
		role("proxy", "quay", "Route clients' requests to searchers (the proxy of a front machine)",
			func(s *settings.Settings, incarnation string, l *log.Logger) (process, error) {
				return proxy.New(s, incarnation, l), nil
			}),
		role("agent", "tender", "Connect a front machine to the control plane and pass its updates on to the proxy",
			func(s *settings.Settings, incarnation string, l *log.Logger) (process, error) {
				return agent.New(s, incarnation, l), nil
			}),
		role("controller", "harbour", "Serve searchers and operators (a controller of the control plane)",
			func(s *settings.Settings, incarnation string, l *log.Logger) (process, error) {
				return controlplane.New(s, incarnation, l)
			}),
	}
}

// maxViolationLines is the number of invariant violations logged per second. All violations are counted.
const maxViolationLines = 10

func runProcess(ctx context.Context, name, metrics string,
	build func(*settings.Settings, string, *log.Logger) (process, error)) error {
	signal.Ignore(syscall.SIGPIPE)
	reload := notify(syscall.SIGHUP)
	s, err := settings.ReadForRole(name, settings.PathFromEnvironment(os.Getenv))
	if err != nil {
		return err
	}
	if metrics != "" {
		if s.Metrics, err = exporter.ParseAddress(metrics); err != nil {
			return codedError{err, exitUsage}
		}
	}
	tuneMemory(s, name)
	l := newLog(os.Getenv("PEATHOLLOW_LOG"))
	limiter := &logbound.Limiter{PerSecond: maxViolationLines}
	invariant.OnViolation(func(name invariant.Name, saw string) {
		if ok, suppressed := limiter.Allow(time.Now()); ok {
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
		for range reload {
			// Settings only take effect at the next start. The file is read to report whether it is valid.
			if _, err := settings.ReadForRole(name, settings.PathFromEnvironment(os.Getenv)); err != nil {
				l.Error().Str("event", "settings").Err(err).Msg("")
			} else {
				l.Info().Str("event", "settings").Msg("")
			}
		}
	}()
	return p.Run(ctx)
}

// notify returns a channel that receives the signal.
func notify(s os.Signal) chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, s)
	return c
}

// tuneMemory sets a soft memory limit, because a process that exceeds its memory is killed, and the platform offers no way to
// set these values in the environment. The proxy, which allocates for each request, trades memory for less garbage
// collection; the other processes do little work and save memory instead.
func tuneMemory(s *settings.Settings, role string) {
	debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * 6 / 10)
	debug.SetGCPercent(50)
	if role == "proxy" {
		debug.SetGCPercent(200)
	}
}

// newLog returns a logger that writes one line of key=value pairs per event to standard error.
func newLog(level string) *log.Logger {
	l := &log.Logger{Level: log.InfoLevel, TimeFormat: "15:04:05.000", Writer: &log.ConsoleWriter{Writer: os.Stderr,
		Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter}}
	if level != "" {
		l.Level = log.ParseLevel(level)
	}
	return l
}
