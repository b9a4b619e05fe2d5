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

// lab holds measurements that need processes of this program, and no system that serves.
func lab() *cli.Command {
	return group("lab", "Measure the system on this machine", labScale(), labSoak(), labHollow())
}

// checkRun checks the options of a run of this program's own processes, and gives their first arguments.
func checkRun(options interface{ Check() error }) (program []string, err error) {
	if err := options.Check(); err != nil {
		return nil, coded{err, exitUsage}
	}
	path, err := os.Executable()
	if err != nil {
		return nil, errors.Wrap(err, "this program")
	}
	return []string{path}, nil
}

func labScale() *cli.Command {
	o := scale.Default()
	asJSON := false
	return operation(&cli.Command{Name: "scale",
		Usage: "Measure what the control plane costs with so many mixers and searchers, hollow ones beside real controllers",
		Description: "Controllers and one front run as processes of this program; the other mixers share one process, the searchers another.\n" +
			"Half of the time nothing changes, half of it changes of configuration and drains go in turn. Nothing is left behind.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "mixers", Value: o.Mixers, Destination: &o.Mixers, Usage: "mixers, one of them real"},
			&cli.IntFlag{Name: "searchers", Value: o.Search, Destination: &o.Search, Usage: "hollow searchers"},
			&cli.IntFlag{Name: "core", Value: o.Core, Destination: &o.Core, Usage: "controllers"},
			&cli.Uint64Flag{Name: "seed", Value: o.Seed, Destination: &o.Seed, Usage: "of all chance in the hollow processes"},
			&cli.DurationFlag{Name: "for", Value: o.For, Destination: &o.For, Usage: "measure for so long"},
			&cli.IntFlag{Name: "routes", Value: o.Routes, Destination: &o.Routes, Usage: "routes of the configuration"},
			&cli.IntFlag{Name: "shards", Value: o.Shards, Destination: &o.Shards, Usage: "shards of a route that is split"},
			&cli.DurationFlag{Name: "beat-period", Value: o.Period, Destination: &o.Period, Usage: "of a searcher"},
			&cli.DurationFlag{Name: "change-every", Value: o.Every, Destination: &o.Every, Usage: "a change, and a drain midway to the next"},
			&cli.FloatFlag{Name: "restarts", Value: o.Restart, Destination: &o.Restart, Usage: "searchers a minute that drain, leave and come back"},
			&cli.FloatFlag{Name: "crashes", Value: o.Crash, Destination: &o.Crash, Usage: "searchers a minute that come back without a word"},
			&cli.BoolFlag{Name: "fresh", Destination: &o.Fresh, Usage: "each beat opens a connection"},
			&cli.IntFlag{Name: "procs", Value: o.Procs, Destination: &o.Procs, Usage: "threads of each process that run at a time"},
			&cli.DurationFlag{Name: "start-most", Value: o.Warm, Destination: &o.Warm, Usage: "for all to know all at the start"},
			&cli.BoolFlag{Name: "json", Destination: &asJSON, Usage: "print JSON"},
		}}, 0, func(ctx context.Context, c *cli.Command) error {
		var err error
		if o.Program, err = checkRun(&o); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		began := time.Now()
		o.Out = func(s string) { fmt.Fprintf(c.Root().ErrWriter, "%6.1f s  %s\n", time.Since(began).Seconds(), s) }
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

// labHollow is what scale starts; it is told what to be on standard input.
func labHollow() *cli.Command {
	return leaf(&cli.Command{Name: "hollow", Usage: "A process of hollow agents or searchers", Hidden: true}, 1, 1,
		func(ctx context.Context, c *cli.Command) error {
			return scale.Hollow(ctx, c.Args().First(), os.Stdin, os.Stdout)
		})
}
