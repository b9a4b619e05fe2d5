package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"peathollow/lab/soak"
)

const soakRate = 150 // requests per second

func labSoak() *cli.Command {
	var o soak.Options
	var kinds string
	asJSON, follow := false, false
	return operatorCommand(&cli.Command{Name: "soak",
		Usage: "Run a small complete system on loopback under random faults and check what clients, searchers and operators saw",
		Description: "Real controllers, agents, proxies and searchers are killed, paused, restarted, partitioned and sent wrong data, two or three faults at a time, " +
			"on a schedule drawn from the seed. Exits with 0 if nothing was violated; otherwise the last line names the first violation, the seed and the folder.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &o.Seed, Usage: "seed of the schedule"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Destination: &o.Duration,
				Usage: "time with faults; a few seconds without faults follow"},
			&cli.IntFlag{Name: "rate", Value: soakRate, Destination: &o.Rate, Usage: "requests per second"},
			&cli.IntFlag{Name: "at-once", Value: 3, Destination: &o.MaxConcurrent, Usage: "faults at a time"},
			&cli.IntFlag{Name: "fronts", Destination: &o.Fronts, Usage: "number of fronts, each of two processes; 0 lets the seed draw it"},
			&cli.IntFlag{Name: "controllers", Destination: &o.Controllers, Usage: "number of controllers; 0 lets the seed draw it"},
			&cli.IntFlag{Name: "shards", Destination: &o.Shards, Usage: "services of a fan-out; 3 if 0"},
			&cli.IntFlag{Name: "copies", Destination: &o.Copies, Usage: "searchers per service; 3 if 0"},
			&cli.StringFlag{Name: "trouble", Destination: &kinds, Usage: "only these `KIND[,KIND]`; \"planned\" for planned maintenance"},
			&cli.StringFlag{Name: "dir", Destination: &o.Dir, Usage: "an empty `FOLDER` for logs, ledger and schedule"},
			&cli.BoolFlag{Name: "follow", Destination: &follow, Usage: "print each fault as it begins and ends"},
			&cli.BoolFlag{Name: "json", Destination: &asJSON, Usage: "print JSON"},
		}}, 0, func(ctx context.Context, c *cli.Command) error {
		var err error
		if o.Kinds, err = soak.ParseKinds(kinds); err != nil {
			return codedError{err, exitUsage}
		}
		if o.Program, err = checkRun(&o); err != nil {
			return err
		}
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		if follow {
			o.Progress = func(line string) { fmt.Fprintln(c.Root().ErrWriter, line) }
		}
		result, err := soak.Run(ctx, o)
		if err != nil {
			return err
		}
		if asJSON {
			err = printJSON(c.Root().Writer, result)
		} else {
			printSoak(c.Root().Writer, result)
		}
		if n := len(result.Violations); n > 0 {
			err = errors.Errorf("%d violations, the first: %s; seed %d, %s", n, result.Violations[0], result.Seed, result.Dir)
		}
		return err
	})
}

func printSoak(out io.Writer, r *soak.Result) {
	fmt.Fprintf(out, "seed %d: %d controllers, %d fronts, %d troubles; %d requests, %d right (%d without all parts), %d left by their clients, %d with no right answer in time; "+
		"%d of %d failed tries in a log; %d of %d configurations acknowledged; %d requests in the calm; %d violations; %s\n",
		r.Seed, r.Shape.Controllers, r.Shape.Fronts, r.Troubles, r.Requests, r.Right, r.Partial, r.Left, r.Unanswered, r.Explained, r.Failures,
		r.Acked, r.Orders, r.Calm, len(r.Violations), r.Dir)
	for _, v := range r.Violations {
		fmt.Fprintln(out, "  "+v)
	}
}
