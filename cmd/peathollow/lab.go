package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"peathollow/lab/scale"
)

// lab returns the measurements that run processes of this program and need no running system.
func lab() *cli.Command {
	return group("lab", "Measure the system on this machine", labScale(), labSoak(), labHollow())
}

// checkRun validates the options of a run that starts processes of this program, and returns the command line prefix for them.
func checkRun(options interface{ Check() error }) (program []string, err error) {
	if err := options.Check(); err != nil {
		return nil, codedError{err, exitUsage}
	}
	path, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "find the executable")
	}
	return []string{path}, nil
}

func labScale() *cli.Command {
	o := scale.DefaultOptions()
	asJSON := false
	return operatorCommand(&cli.Command{Name: "scale",
		Usage: "Measure the cost of the control plane with many simulated mixers and searchers and real controllers",
		Description: "Controllers and one front run as processes of this program; the other mixers share one process, the searchers another.\n" +
			"Nothing changes for half of the time; during the other half configuration changes and drains alternate. No process is left behind.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "mixers", Value: o.Mixers, Destination: &o.Mixers, Usage: "mixers, one of them real"},
			&cli.IntFlag{Name: "searchers", Value: o.Searchers, Destination: &o.Searchers, Usage: "simulated searchers"},
			&cli.IntFlag{Name: "core", Value: o.Controllers, Destination: &o.Controllers, Usage: "controllers"},
			&cli.Uint64Flag{Name: "seed", Value: o.Seed, Destination: &o.Seed,
				Usage: "seed of the random choices in the simulated processes"},
			&cli.DurationFlag{Name: "for", Value: o.Duration, Destination: &o.Duration, Usage: "time to measure"},
			&cli.IntFlag{Name: "routes", Value: o.Routes, Destination: &o.Routes, Usage: "routes of the configuration"},
			&cli.IntFlag{Name: "shards", Value: o.Shards, Destination: &o.Shards, Usage: "shards of a route that is split"},
			&cli.DurationFlag{Name: "beat-period", Value: o.HeartbeatPeriod, Destination: &o.HeartbeatPeriod,
				Usage: "time between heartbeats of a searcher"},
			&cli.DurationFlag{Name: "change-every", Value: o.ChangeInterval, Destination: &o.ChangeInterval,
				Usage: "time between configuration changes, with a drain halfway between them"},
			&cli.FloatFlag{Name: "restarts", Value: o.RestartsPerMinute, Destination: &o.RestartsPerMinute,
				Usage: "searchers per minute that drain, stop and start again"},
			&cli.FloatFlag{Name: "crashes", Value: o.CrashesPerMinute, Destination: &o.CrashesPerMinute,
				Usage: "searchers per minute that restart without notice"},
			&cli.BoolFlag{Name: "fresh", Destination: &o.FreshConnections, Usage: "open a connection for each heartbeat"},
			&cli.IntFlag{Name: "procs", Value: o.MaxProcs, Destination: &o.MaxProcs, Usage: "threads that each process runs at a time"},
			&cli.DurationFlag{Name: "start-most", Value: o.StartTimeout, Destination: &o.StartTimeout,
				Usage: "time limit for all processes to know all others at the start"},
			&cli.BoolFlag{Name: "json", Destination: &asJSON, Usage: "print JSON"},
		}}, 0, func(ctx context.Context, c *cli.Command) error {
		var err error
		if o.Program, err = checkRun(&o); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		began := time.Now()
		o.Progress = func(s string) { fmt.Fprintf(c.Root().ErrWriter, "%6.1f s  %s\n", time.Since(began).Seconds(), s) }
		r, err := scale.Run(ctx, o)
		if r == nil {
			return err
		}
		if asJSON {
			return errors.Join(err, printJSON(c.Root().Writer, r))
		}
		return errors.Join(err, r.Print(c.Root().Writer))
	})
}

// labHollow is the process of simulated agents or searchers that scale starts. It reads its configuration from standard input.
func labHollow() *cli.Command {
	return leaf(&cli.Command{Name: "hollow", Usage: "Run simulated agents or searchers", Hidden: true}, 1, 1,
		func(ctx context.Context, c *cli.Command) error {
			return scale.RunSimulated(ctx, c.Args().First(), os.Stdin, os.Stdout)
		})
}
