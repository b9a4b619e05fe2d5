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
	return group("verify", "Check, in every order of events, what serves", verifyAttempts())
}

// proofOf is what the flags of verify attempts say.
type proofOf struct {
	set        explore.Setup
	faults     string
	reduction  string
	threads    int
	limit      int
	memory     int
	find       int
	property   string
	checkpoint string
	every      time.Duration
	asJSON     bool
	quiet      bool
	properties bool
	kinds      bool
	mutants    bool
	source     string
	only       string
	replay     string
	write      string
	walk       time.Duration
	seed       uint64
}

func verifyAttempts() *cli.Command {
	var p proofOf
	return leaf(&cli.Command{Name: "attempts",
		Usage: "Explore the life of an attempt and of a connection in every order of events, at a small size",
		Description: "Runs what serves, the package attempt, through every order of what the outside can do, and checks its properties in " +
			"each state. Exit 1 on a violation, which is told as the shortest story found; 3 if the search was cut short.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "readers", Value: 2, Destination: &p.set.Searchers, Usage: "readers, each holding every part (1 to 4)"},
			&cli.IntFlag{Name: "parts", Value: 2, Destination: &p.set.Parts, Usage: "parts of the scan (1 to 4)"},
			&cli.IntFlag{Name: "tries", Value: 2, Destination: &p.set.MaxAttempts, Usage: "dispatches of a part, at most (1 to 4)"},
			&cli.StringFlag{Name: "effect", Value: "replayable", Destination: &p.set.Effect, Usage: "what a repeat does: replayable, keyed or nonreplayable"},
			&cli.IntFlag{Name: "steps", Value: 1, Destination: &p.set.Steps, Usage: "steps of the table type (1 or 2)"},
			&cli.IntFlag{Name: "copies", Value: 1, Destination: &p.set.MaxInFlight, Usage: "dispatches of a part that may be out at once; 1 bars copies"},
			&cli.StringFlag{Name: "decider", Value: "free", Destination: &p.set.Policy, Usage: "who decides: brain, the real module, or free, anything its interface allows"},
			&cli.StringFlag{Name: "faults", Value: "break,mute,left,list", Destination: &p.faults, Usage: "what may go wrong: all, none, or kinds with commas between (see --list-faults)"},
			&cli.IntFlag{Name: "most", Value: 1, Destination: &p.set.MaxFaults, Usage: "faults in one run, of any kinds (0 to 8)"},
			&cli.StringFlag{Name: "reduction", Value: "both", Destination: &p.reduction, Usage: "orders and states not tried since others stand for them: none, symmetry, order, both"},
			&cli.IntFlag{Name: "threads", Destination: &p.threads, Usage: "cores to use; 0: all"},
			&cli.IntFlag{Name: "limit-states", Destination: &p.limit, Usage: "cut the search short after so many states; 0: never"},
			&cli.IntFlag{Name: "memory", Destination: &p.memory, Usage: "cut the search short when the process has taken so many MB; 0: never"},
			&cli.StringFlag{Name: "property", Destination: &p.property, Usage: "look at this property alone"},
			&cli.IntFlag{Name: "find", Value: 1, Destination: &p.find, Usage: "properties found broken after which the search ends"},
			&cli.StringFlag{Name: "checkpoint", Destination: &p.checkpoint, Usage: "file to go on from, and to write when cut short"},
			&cli.DurationFlag{Name: "checkpoint-every", Value: time.Minute, Destination: &p.every, Usage: "how often the checkpoint is written besides"},
			&cli.BoolFlag{Name: "json", Destination: &p.asJSON, Usage: "print the result as JSON"},
			&cli.BoolFlag{Name: "quiet", Destination: &p.quiet, Usage: "no progress line"},
			&cli.BoolFlag{Name: "list-properties", Destination: &p.properties, Usage: "list what is checked, and end"},
			&cli.BoolFlag{Name: "list-faults", Destination: &p.kinds, Usage: "list what may go wrong, and end"},
			&cli.BoolFlag{Name: "mutants", Destination: &p.mutants, Usage: "plant each known fault into a copy of the source, build it, and see whether it is caught"},
			&cli.StringFlag{Name: "source", Value: ".", Destination: &p.source, Usage: "checkout that mutants are planted in"},
			&cli.StringFlag{Name: "only", Destination: &p.only, Usage: "only mutants with this in their names"},
			&cli.StringFlag{Name: "replay", Destination: &p.replay, Usage: "play a case from a file again, and end"},
			&cli.StringFlag{Name: "write", Destination: &p.write, Usage: "folder to write what is found to, as cases to replay"},
			&cli.DurationFlag{Name: "walk", Destination: &p.walk, Usage: "take random ways for so long in place of the search, to compare"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &p.seed, Usage: "of random ways"},
		}}, 0, 0,
		func(ctx context.Context, c *cli.Command) error {
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return p.run(ctx, c.Root().Writer, c.Root().ErrWriter)
		})
}

func (p *proofOf) run(ctx context.Context, out, errs io.Writer) error {
	switch {
	case p.properties:
		return p.list(out, explore.Properties)
	case p.kinds:
		return p.list(out, explore.FaultKinds[:])
	case p.replay != "":
		return p.again(out)
	case p.mutants:
		return p.plant(ctx, out, errs)
	}
	p.set.Faults = strings.Split(p.faults, ",")
	if err := p.set.Validate(); err != nil {
		return err
	}
	if !explore.KnownProperty(p.property) {
		return fmt.Errorf("--property %q: see --list-properties", p.property)
	}
	red, err := explore.ParseReduction(p.reduction)
	if err != nil {
		return err
	}
	for name, n := range map[string]int{"threads": p.threads, "limit-states": p.limit, "memory": p.memory} {
		if n < 0 {
			return fmt.Errorf("--%s %d: not below 0", name, n)
		}
	}
	if p.walk > 0 {
		states, walks, bad := explore.RandomWalks(ctx, p.set, red, p.seed, p.threads, p.walk)
		fmt.Fprintf(out, "%d random ways met %d states in %v\n", walks, states, p.walk)
		if bad != nil {
			fmt.Fprintf(out, "violation of %s: %s\n", bad.Property, bad.Text)
			return exitCode(1)
		}
		return nil
	}
	s := explore.Search{Setup: p.set, Reduction: red, Threads: p.threads, Property: p.property, MaxStates: p.limit, MemoryMB: p.memory, MaxViolations: p.find,
		CheckpointFile: p.checkpoint, CheckpointInterval: p.every}
	if !p.quiet {
		s.Progress = func(r explore.Result, last bool) { searching(errs, r, last) }
	}
	res, err := s.Run(ctx)
	if err != nil {
		return err
	}
	if p.write != "" {
		for i := range res.Findings {
			f := &res.Findings[i]
			if err := f.Write(fmt.Sprintf("%s/%s-%s-%s.json", p.write, f.Property, p.set.Effect, p.set.Policy), p.set, red, "verify attempts"); err != nil {
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

func (p *proofOf) list(out io.Writer, all []explore.Property) error {
	if p.asJSON {
		return json.NewEncoder(out).Encode(all)
	}
	for _, x := range all {
		fmt.Fprintf(out, "%-13s %s\n", x.Name, x.Line)
	}
	return nil
}

func searching(out io.Writer, r explore.Result, last bool) {
	if last {
		fmt.Fprintf(out, "\r%80s\r", "")
		return
	}
	fmt.Fprintf(out, "\r%d states, %d transitions, %d waiting, depth %d, %d MB, %.0f s ", r.States, r.Transitions, r.Unexpanded, r.Depth, r.PeakMB, r.Seconds)
}

func (p *proofOf) print(out io.Writer, r explore.Result) error {
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

// again plays a case.
func (p *proofOf) again(out io.Writer) error {
	c, err := explore.ReadScenario(p.replay)
	if err != nil {
		return err
	}
	events, bad, err := explore.Replay(c)
	if err != nil {
		return err
	}
	for i, e := range events {
		fmt.Fprintf(out, "%2d. %s\n", i+1, e)
	}
	if bad != nil {
		fmt.Fprintf(out, "Then %s: %s\n", bad.Property, bad.Text)
		return exitCode(1)
	}
	fmt.Fprintln(out, "No property is broken.")
	return nil
}

// plant tries the mutants.
func (p *proofOf) plant(ctx context.Context, out, errs io.Writer) error {
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
