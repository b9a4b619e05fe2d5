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
	return operatorCommand(&cli.Command{Name: "system",
		Usage: "Start a small complete system on loopback, send it requests, change its configuration and show the results",
		Description: "Three controllers and two fronts (each a proxy and an agent) run as processes of this program, with simulated searchers:\n" +
			"two for each of three shards and for a single service. Exits with 0 if every request got a correct response and no process is left.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Value: 5 * time.Second, Destination: &t.length,
				Usage: "send requests for this time; 0 sends until Ctrl-C"},
			&cli.IntFlag{Name: "rate", Value: 40, Destination: &t.rate, Usage: "requests per second"},
			&cli.BoolFlag{Name: "trouble", Destination: &t.injectFaults, Usage: "midway the primary controller is killed and a searcher stops responding"},
		}}, 0, func(ctx context.Context, c *cli.Command) error {
		if t.rate < 1 || t.rate > 500 {
			return codedError{errors.Errorf("--rate %d: 1 to 500", t.rate), exitUsage}
		}
		return t.run(ctx, c.Root().Writer)
	})
}

// systemTrial holds the options of a run against a complete system.
type systemTrial struct {
	length       time.Duration
	rate         int
	injectFaults bool
}

const (
	startTimeout  = 40 * time.Second
	changeTimeout = 20 * time.Second
)

func (t *systemTrial) run(ctx context.Context, out io.Writer) (err error) {
	// After Ctrl-C the system is also shut down in order. Without this the signal would end the program.
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the executable")
	}
	began := time.Now()
	startCtx, cancelStart := context.WithTimeout(ctx, startTimeout)
	defer cancelStart()
	s, err := localsystem.Start(startCtx, localsystem.Options{Program: []string{program}})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, s.Stop()) }()
	fmt.Fprintf(out, "3 controllers, 2 fronts (proxy and agent each) and 8 searchers serve after %v; in another terminal:\n"+
		"  peathollow status --control %s\n", time.Since(began).Round(time.Millisecond), strings.Join(s.Control, ","))
	load := localsystem.NewLoad(s)
	sendCtx, stopSending := context.WithCancel(ctx)
	defer stopSending()
	sent := make(chan struct{})
	go func() {
		load.Run(sendCtx, t.rate)
		close(sent)
	}()
	wait(ctx, t.beforeChange())
	err = t.changeMidway(ctx, s, out)
	if t.length > 0 {
		wait(ctx, t.length-t.beforeChange())
	} else {
		<-ctx.Done()
	}
	stopSending()
	<-sent
	return errors.Join(err, report(out, s, load))
}

// beforeChange is the time from the start of the requests to the change of configuration.
func (t *systemTrial) beforeChange() time.Duration {
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

// changeMidway injects the faults, if they were asked for, and changes the configuration.
func (t *systemTrial) changeMidway(ctx context.Context, s *localsystem.System, out io.Writer) error {
	if ctx.Err() != nil {
		return nil
	}
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if t.injectFaults {
		name, err := s.KillPrimary(changeCtx)
		if err != nil {
			return err
		}
		s.Searchers()[0].StopResponding()
		fmt.Fprintf(out, "%s, the primary, is killed; searcher %s stops responding\n", name, s.Searchers()[0].ID())
	}
	began := time.Now()
	if err := s.ChangeConfig(changeCtx, 2); err != nil {
		if ctx.Err() != nil {
			return nil // Ctrl-C
		}
		return err
	}
	fmt.Fprintf(out, "version 2 acknowledged, and in force on both fronts after %v\n", time.Since(began).Round(time.Millisecond))
	return nil
}

// report prints the results of all requests and returns an error if any response was wrong.
func report(out io.Writer, s *localsystem.System, load *localsystem.Load) error {
	kinds, firstError := load.Kinds()
	var rows [][]any
	wrong := 0
	for _, k := range kinds {
		ms := func(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1e3) }
		rows = append(rows, []any{k.Name, k.Sent, k.Correct, k.Sent - k.Correct, k.Attempts - k.Sent, k.Partial, k.Missing,
			ms(k.Latency.ValueAtQuantile(50)), ms(k.Latency.ValueAtQuantile(99)), ms(k.Latency.Max())})
		wrong += k.Sent - k.Correct
	}
	if err := printTable(out, "requests|sent|right|not|tried again|partial|parts missing|median|99 in 100|longest",
		rows); err != nil {
		return err
	}
	if wrong > 0 {
		return errors.Errorf("%d requests got no correct response; the first: %w", wrong, firstError)
	}
	if twice := s.RanTwice(); len(twice) > 0 {
		return errors.Errorf("%d non-idempotent requests ran twice: %s", len(twice), strings.Join(twice, "; "))
	}
	return nil
}
