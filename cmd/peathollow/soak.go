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

const soakRate = 150 // requests a second

func labSoak() *cli.Command {
	var o soak.Options
	var kinds string
	asJSON, follow := false, false
	return operation(&cli.Command{Name: "soak",
		Usage: "Run a small whole system on loopback under random trouble, and judge what clients, searchers and operators saw",
		Description: "Real controllers, agents, proxies and searchers are killed, stopped, restarted, cut off and lied to, two or three troubles at a time, " +
			"by a schedule that the seed draws. Exits with 0 when nothing was violated; else the last line names the first violation, the seed and the folder.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &o.Seed, Usage: "draws the schedule"},
			&cli.DurationFlag{Name: "for", Value: time.Minute, Destination: &o.Duration, Usage: "trouble for so long; some calm seconds follow"},
			&cli.IntFlag{Name: "rate", Value: soakRate, Destination: &o.Rate, Usage: "requests a second"},
			&cli.IntFlag{Name: "at-once", Value: 3, Destination: &o.MaxConcurrent, Usage: "troubles at a time"},
			&cli.IntFlag{Name: "fronts", Destination: &o.Fronts, Usage: "how many, each of two processes; a few that the seed draws if 0"},
			&cli.IntFlag{Name: "controllers", Destination: &o.Controllers, Usage: "how many; a few that the seed draws if 0"},
			&cli.IntFlag{Name: "shards", Destination: &o.Shards, Usage: "services of a gathered answer; 3 if 0"},
			&cli.IntFlag{Name: "copies", Destination: &o.Copies, Usage: "searchers of a service; 3 if 0"},
			&cli.StringFlag{Name: "trouble", Destination: &kinds, Usage: "only these `KIND[,KIND]`; \"planned\" for planned work"},
			&cli.StringFlag{Name: "dir", Destination: &o.Dir, Usage: "an empty `FOLDER` for logs, ledger and schedule"},
			&cli.BoolFlag{Name: "follow", Destination: &follow, Usage: "print each trouble as it begins and ends"},
			&cli.BoolFlag{Name: "json", Destination: &asJSON, Usage: "print JSON"},
		}}, 0, func(ctx context.Context, c *cli.Command) error {
		var err error
		if o.Kinds, err = soak.ParseKinds(kinds); err != nil {
			return coded{err, exitUsage}
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
