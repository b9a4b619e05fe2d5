package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"peathollow/attempt/explore"
)

func verify() *cli.Command {
	return group("verify", "Check the serving code in every order of events", verifyAttempts())
}

// attemptsOptions holds the flags of verify attempts.
type attemptsOptions struct {
	set             explore.Setup
	faults          string
	reduction       string
	threads         int
	limitStates     int
	memory          int
	find            int
	property        string
	checkpoint      string
	checkpointEvery time.Duration
	asJSON          bool
	quiet           bool
	listProperties  bool
	listFaults      bool
	mutants         bool
	source          string
	only            string
	replay          string
	write           string
	walk            time.Duration
	seed            uint64
}

func verifyAttempts() *cli.Command {
	var p attemptsOptions
	return leaf(&cli.Command{Name: "attempts",
		Usage: "Explore the states of attempts and connections in every order of events, for a small configuration",
		Description: "Runs package attempt, which serves requests, through every order of external events and checks its properties in " +
			"each state. Exits with 1 on a violation, printed as the shortest trace found, and with 3 if the search was cut short.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "readers", Value: 2, Destination: &p.set.Searchers, Usage: "readers, each holding every part (1 to 4)"},
			&cli.IntFlag{Name: "parts", Value: 2, Destination: &p.set.Parts, Usage: "parts of the scan (1 to 4)"},
			&cli.IntFlag{Name: "tries", Value: 2, Destination: &p.set.MaxAttempts, Usage: "maximum number of dispatches of a part (1 to 4)"},
			&cli.StringFlag{Name: "effect", Value: "replayable", Destination: &p.set.Effect,
				Usage: "effect of a repeated part: replayable, keyed or nonreplayable"},
			&cli.IntFlag{Name: "steps", Value: 1, Destination: &p.set.Steps, Usage: "steps of the table type (1 or 2)"},
			&cli.IntFlag{Name: "copies", Value: 1, Destination: &p.set.MaxInFlight,
				Usage: "dispatches of a part that may be in flight at once; 1 forbids hedging"},
			&cli.StringFlag{Name: "decider", Value: "free", Destination: &p.set.Policy,
				Usage: "what decides on dispatches: brain (the real policy) or free (anything its interface allows)"},
			&cli.StringFlag{Name: "faults", Value: "break,mute,left,list", Destination: &p.faults,
				Usage: "faults to inject: all, none, or a comma-separated list of kinds (see --list-faults)"},
			&cli.IntFlag{Name: "most", Value: 1, Destination: &p.set.MaxFaults, Usage: "maximum number of faults in one run (0 to 8)"},
			&cli.StringFlag{Name: "reduction", Value: "both", Destination: &p.reduction,
				Usage: "skip equivalent orders and states: none, symmetry, order, both"},
			&cli.IntFlag{Name: "threads", Destination: &p.threads, Usage: "cores to use; 0: all"},
			&cli.IntFlag{Name: "limit-states", Destination: &p.limitStates,
				Usage: "stop the search after this number of states; 0: never"},
			&cli.IntFlag{Name: "memory", Destination: &p.memory, Usage: "stop the search when the process uses this many MB; 0: never"},
			&cli.StringFlag{Name: "property", Destination: &p.property, Usage: "check only this property"},
			&cli.IntFlag{Name: "find", Value: 1, Destination: &p.find, Usage: "number of violated properties after which the search ends"},
			&cli.StringFlag{Name: "checkpoint", Destination: &p.checkpoint,
				Usage: "file to resume from, and to write when the search is cut short"},
			&cli.DurationFlag{Name: "checkpoint-every", Value: time.Minute, Destination: &p.checkpointEvery,
				Usage: "time between writes of the checkpoint"},
			&cli.BoolFlag{Name: "json", Destination: &p.asJSON, Usage: "print the result as JSON"},
			&cli.BoolFlag{Name: "quiet", Destination: &p.quiet, Usage: "no progress line"},
			&cli.BoolFlag{Name: "list-properties", Destination: &p.listProperties, Usage: "list the properties and exit"},
			&cli.BoolFlag{Name: "list-faults", Destination: &p.listFaults, Usage: "list the kinds of faults and exit"},
			&cli.BoolFlag{Name: "mutants", Destination: &p.mutants, Usage: "inject each known fault into a copy of the source, build it and check that it is detected"},
			&cli.StringFlag{Name: "source", Value: ".", Destination: &p.source, Usage: "checkout that mutants are made from"},
			&cli.StringFlag{Name: "only", Destination: &p.only, Usage: "only mutants whose name contains this"},
			&cli.StringFlag{Name: "replay", Destination: &p.replay, Usage: "replay a case from a file and exit"},
			&cli.StringFlag{Name: "write", Destination: &p.write, Usage: "folder for violations, written as cases to replay"},
			&cli.DurationFlag{Name: "walk", Destination: &p.walk, Usage: "walk randomly for this time instead of searching, for comparison"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &p.seed, Usage: "seed of the random walks"},
		}}, 0, 0,
		func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return p.run(ctx, c.Root().Writer, c.Root().ErrWriter)
		})
}

func (p *attemptsOptions) run(ctx context.Context, out, errs io.Writer) error {
	switch {
	case p.listProperties:
		return p.list(out, explore.Properties)
	case p.listFaults:
		return p.list(out, explore.FaultKinds[:])
	case p.replay != "":
		return p.replayCase(out)
	case p.mutants:
		return p.runMutants(ctx, out, errs)
	}
	p.set.Faults = strings.Split(p.faults, ",")
	if err := p.set.Validate(); err != nil {
		return err
	}
	if !explore.KnownProperty(p.property) {
		return fmt.Errorf("--property %q: see --list-properties", p.property)
	}
	reduction, err := explore.ParseReduction(p.reduction)
	if err != nil {
		return err
	}
	for name, n := range map[string]int{"threads": p.threads, "limit-states": p.limitStates, "memory": p.memory} {
		if n < 0 {
			return fmt.Errorf("--%s %d: must not be negative", name, n)
		}
	}
	if p.walk > 0 {
		states, walks, violation := explore.RandomWalks(ctx, p.set, reduction, p.seed, p.threads, p.walk)
		fmt.Fprintf(out, "%d random walks reached %d states in %v\n", walks, states, p.walk)
		if violation != nil {
			fmt.Fprintf(out, "violation of %s: %s\n", violation.Property, violation.Text)
			return exitCode(1)
		}
		return nil
	}
	s := explore.Search{Setup: p.set, Reduction: reduction, Threads: p.threads, Property: p.property, MaxStates: p.limitStates,
		MemoryMB: p.memory, MaxViolations: p.find,
		CheckpointFile: p.checkpoint, CheckpointInterval: p.checkpointEvery}
	if !p.quiet {
		s.Progress = func(r explore.Result, last bool) { printProgress(errs, r, last) }
	}
	res, err := s.Run(ctx)
	if err != nil {
		return err
	}
	if p.write != "" {
		for i := range res.Findings {
			f := &res.Findings[i]
			if err := f.Write(fmt.Sprintf("%s/%s-%s-%s.json", p.write, f.Property, p.set.Effect, p.set.Policy), p.set, reduction,
				"verify attempts"); err != nil {
				return err
			}
		}
	}
	if err := p.print(out, res); err != nil {
		return err
	}
	switch {
	case res.Violations > 0:
		return exitCode(1)
	case !res.Complete:
		return exitCode(3)
	}
	return nil
}

func (p *attemptsOptions) list(out io.Writer, all []explore.Property) error {
	if p.asJSON {
		return json.NewEncoder(out).Encode(all)
	}
	for _, x := range all {
		fmt.Fprintf(out, "%-13s %s\n", x.Name, x.Line)
	}
	return nil
}

func printProgress(out io.Writer, r explore.Result, last bool) {
	if last {
		fmt.Fprintf(out, "\r%80s\r", "")
		return
	}
	fmt.Fprintf(out, "\r%d states, %d transitions, %d waiting, depth %d, %d MB, %.0f s ", r.States, r.Transitions, r.Unexpanded,
		r.Depth, r.PeakMB, r.Seconds)
}

func (p *attemptsOptions) print(out io.Writer, r explore.Result) error {
	if p.asJSON {
		return json.NewEncoder(out).Encode(r)
	}
	end := "the whole space"
	if !r.Complete {
		end = "cut short"
	}
	fmt.Fprintf(out, "%d states, %d transitions, %s; %d violations; longest run %d steps; %.1f s on %d cores, %d MB, reduction %s\n",
		r.States, r.Transitions, end, r.Violations, r.Depth, r.Seconds, r.Threads, r.PeakMB, r.Reduction)
	for _, f := range r.Findings {
		fmt.Fprintf(out, "\n%s is broken:\n", f.Property)
		for _, line := range f.Trace {
			fmt.Fprintln(out, line)
		}
	}
	return nil
}

// replayCase replays a case from a file.
func (p *attemptsOptions) replayCase(out io.Writer) error {
	c, err := explore.ReadScenario(p.replay)
	if err != nil {
		return err
	}
	events, violation, err := explore.Replay(c)
	if err != nil {
		return err
	}
	for i, e := range events {
		fmt.Fprintf(out, "%2d. %s\n", i+1, e)
	}
	if violation != nil {
		fmt.Fprintf(out, "Then %s: %s\n", violation.Property, violation.Text)
		return exitCode(1)
	}
	fmt.Fprintln(out, "No property is broken.")
	return nil
}

// runMutants builds each mutant and checks that its fault is detected.
func (p *attemptsOptions) runMutants(ctx context.Context, out, errs io.Writer) error {
	all, err := explore.RunMutants(ctx, p.source, p.only, func(t explore.MutantResult) {
		if !p.quiet {
			fmt.Fprintf(errs, "%-50s caught %t\n", t.Name, t.Detected)
		}
	})
	if err != nil {
		return err
	}
	caught := 0
	for _, t := range all {
		if t.Detected {
			caught++
		}
		if p.write != "" {
			if err := t.Write(p.write); err != nil {
				return err
			}
		}
	}
	if p.asJSON {
		err := json.NewEncoder(out).Encode(struct {
			Planted int                    `json:"planted"`
			Caught  int                    `json:"caught"`
			Mutants []explore.MutantResult `json:"mutants"`
		}{len(all), caught, all})
		if err != nil {
			return err
		}
	} else {
		fmt.Fprintf(out, "| planted fault | property meant for it | events | states | found broken |\n| --- | --- | --- | --- | --- |\n")
		for _, t := range all {
			broken := strings.Join(t.Violated, ", ")
			if t.Error != "" {
				broken = t.Error
			}
			fmt.Fprintf(out, "| %s | %s | %d | %d | %s |\n", t.Name, t.Property, t.Events, t.States, broken)
		}
		fmt.Fprintf(out, "\n%d planted, %d caught by the property meant for them\n", len(all), caught)
	}
	if caught < len(all) {
		return exitCode(1)
	}
	return nil
}
