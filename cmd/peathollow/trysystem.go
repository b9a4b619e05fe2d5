package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"peathollow/internal/standin/localsystem"
)

func trySystem() *cli.Command {
	var t systemTrial
	return operation(&cli.Command{Name: "system",
		Usage: "Start a small whole system on loopback, send it requests, change its configuration, show what became of them",
		Description: "Three controllers and two fronts (each a proxy and an agent) run as processes of this program, beside stand-in searchers:\n" +
			"three shards and a single service, two of each. Exits with 0 when every request got a right answer and nothing is left.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Destination: &t.length, Usage: "send requests for so long; 0 till Ctrl-C"},
			&cli.IntFlag{Name: "rate", Value: 40, Destination: &t.rate, Usage: "requests a second"},
			&cli.BoolFlag{Name: "trouble", Destination: &t.trouble, Usage: "the leading controller is killed and a searcher falls silent midway"},
		}}, 0, func(ctx context.Context, c *cli.Command) error {
		if t.rate < 1 || t.rate > 500 {
			return coded{errors.Errorf("--rate %d: 1 to 500", t.rate), exitUsage}
		}
		return t.run(ctx, c.Root().Writer)
	})
}

// systemTrial is one go at the whole system.
type systemTrial struct {
	length  time.Duration
	rate    int
	trouble bool
}

const (
	startMost  = 40 * time.Second
	changeMost = 20 * time.Second
)

func (t *systemTrial) run(ctx context.Context, out io.Writer) (err error) {
	// The system leaves in order also after Ctrl-C, which signal.NotifyContext would else turn into this program's end.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "this program")
	}
	began := time.Now()
	starting, done := context.WithTimeout(ctx, startMost)
	defer done()
	s, err := localsystem.Start(starting, localsystem.Options{Program: []string{program}})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Stop()) }()
	fmt.Fprintf(out, "3 controllers, 2 fronts (proxy and agent each) and 8 searchers serve after %v; in another terminal:\n"+
		"  peathollow status --control %s\n", time.Since(began).Round(time.Millisecond), strings.Join(s.Control, ","))
	load := localsystem.NewLoad(s)
	sending, end := context.WithCancel(ctx)
	defer end()
	sent := make(chan struct{})
	go func() {
		load.Run(sending, t.rate)
		close(sent)
	}()
	wait(ctx, t.half())
	err = t.midway(ctx, s, out)
	if t.length > 0 {
		wait(ctx, t.length-t.half())
	} else {
		<-ctx.Done()
	}
	end()
	<-sent
	return errors.Join(err, report(out, s, load))
}

func (t *systemTrial) half() time.Duration {
	if t.length == 0 {
		return 3 * time.Second
	}
	return t.length / 2
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// midway is the trouble, if there is to be any, and a change of configuration.
func (t *systemTrial) midway(ctx context.Context, s *localsystem.System, out io.Writer) error {
	if ctx.Err() != nil {
		return nil
	}
	changing, done := context.WithTimeout(ctx, changeMost)
	defer done()
	if t.trouble {
		name, err := s.KillPrimary(changing)
		if err != nil {
			return err
		}
		s.Searchers()[0].Mute()
		fmt.Fprintf(out, "%s, which led, is killed; searcher %s falls silent\n", name, s.Searchers()[0].ID())
	}
	began := time.Now()
	if err := s.Change(changing, 2); err != nil {
		if ctx.Err() != nil {
			return nil // Ctrl-C
		}
		return err
	}
	fmt.Fprintf(out, "version 2 acknowledged, and in force on both fronts after %v\n", time.Since(began).Round(time.Millisecond))
	return nil
}

// report prints what was served, and tells whether all of it was right.
func report(out io.Writer, s *localsystem.System, load *localsystem.Load) error {
	kinds, fault := load.Kinds()
	var rows [][]any
	wrong := 0
	for _, k := range kinds {
		ms := func(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1e3) }
		rows = append(rows, []any{k.Name, k.Sent, k.Right, k.Sent - k.Right, k.Tries - k.Sent, k.Partial, k.Missing,
			ms(k.Took.ValueAtQuantile(50)), ms(k.Took.ValueAtQuantile(99)), ms(k.Took.Max())})
		wrong += k.Sent - k.Right
	}
	if err := table(out, "requests|sent|right|not|tried again|partial|parts missing|median|99 in 100|longest", rows); err != nil {
		return err
	}
	if wrong > 0 {
		return errors.Errorf("%d requests got no right answer; the first: %w", wrong, fault)
	}
	if twice := s.Twice(); len(twice) > 0 {
		return errors.Errorf("%d requests ran twice that must not: %s", len(twice), strings.Join(twice, "; "))
	}
	return nil
}
