package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"peathollow/duty"
	"peathollow/duty/dutysim"
)

func duties() *cli.Command {
	return group("duties", "Periodic duties that mixers share", dutiesSimulate(), dutiesShow(), dutiesKey())
}

func dutiesSimulate() *cli.Command {
	var s dutysim.Setup
	var seed uint64
	var seeds int
	var asJSON bool
	return leaf(&cli.Command{Name: "simulate", Usage: "Simulate histories of many mixers and check the bounds",
		Description: "Runs seeded histories in simulated time and checks the probes that were sent: no reader is probed twice as often as\n" +
			"intended in any window, and each is reached within the stated gap. Scenarios: " + strings.Join(dutysim.Scenarios, ", ") +
			", or all.\nExits 1 on a violation.",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "instances", Value: 3, Destination: &s.Instances, Usage: "mixers"},
			&cli.IntFlag{Name: "readers", Value: 12, Destination: &s.Readers, Usage: "readers to probe"},
			&cli.DurationFlag{Name: "interval", Value: time.Second, Destination: &s.Interval, Usage: "time between probes of a reader"},
			&cli.DurationFlag{Name: "lease", Destination: &s.Lease, Usage: "length of a lease; 0 for half the interval"},
			&cli.StringFlag{Name: "scenario", Value: "mixed", Destination: &s.Scenario, Usage: "scenario to simulate"},
			&cli.StringFlag{Name: "policy", Value: "core", Destination: &s.Policy,
				Usage: "core, or a baseline: all (everyone probes all), view (rendezvous by view)"},
			&cli.StringFlag{Name: "plant", Destination: &s.Fault, Usage: "inject a fault: " + strings.Join(dutysim.Faults, ", ")},
			&cli.DurationFlag{Name: "length", Destination: &s.Length, Usage: "simulated time of a history; 0 for three rate windows"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &seed, Usage: "seed of the first history"},
			&cli.IntFlag{Name: "seeds", Value: 100, Destination: &seeds, Usage: "number of histories, with consecutive seeds"},
			&cli.BoolFlag{Name: "json", Destination: &asJSON, Usage: "print one JSON object per scenario"},
		}}, 0, 0,
		func(_ context.Context, c *cli.Command) error {
			switch {
			case s.Instances < 1 || s.Instances > 1024:
				return fmt.Errorf("--instances %d: 1 to 1024", s.Instances)
			case s.Readers < 1 || s.Readers > 100_000:
				return fmt.Errorf("--readers %d: 1 to 100000", s.Readers)
			case s.Interval < 100*time.Millisecond || s.Interval > time.Hour:
				return fmt.Errorf("--interval %v: 100ms to 1h", s.Interval)
			case s.Lease != 0 && s.Lease < 200*time.Millisecond:
				return fmt.Errorf("--lease %v: 200ms or more", s.Lease)
			case seeds < 1:
				return fmt.Errorf("--seeds %d: 1 or more", seeds)
			case s.Length < 0:
				return fmt.Errorf("--length %v: not below 0", s.Length)
			}
			if s.Policy == "core" {
				s.Policy = ""
			}
			scenarios := []string{s.Scenario}
			if s.Scenario == "all" {
				scenarios = dutysim.Scenarios
			}
			violations := 0
			for i, name := range scenarios {
				s.Scenario = name
				r, err := dutysim.SimulateAll(s, seed, seeds, progress(c.Root().ErrWriter, name, seeds))
				if err != nil {
					return err
				}
				violations += r.Violations
				if asJSON {
					if err := json.NewEncoder(c.Root().Writer).Encode(r); err != nil {
						return err
					}
					continue
				}
				printReport(c.Root().Writer, r, i == 0)
			}
			if violations > 0 {
				return fmt.Errorf("%d violations: %w", violations, exitCode(1))
			}
			return nil
		})
}

// progress returns a callback that prints the progress of a long run after 2 s and then at most twice per second.
func progress(w io.Writer, name string, of int) func(int) {
	next := time.Now().Add(2 * time.Second)
	return func(done int) {
		if now := time.Now(); now.After(next) && done < of {
			next = now.Add(500 * time.Millisecond)
			fmt.Fprintf(w, "\r%s: %d of %d histories ", name, done, of)
		} else if done == of && now.After(next.Add(-500*time.Millisecond)) {
			fmt.Fprint(w, "\r")
		}
	}
}

func printReport(w io.Writer, r dutysim.Report, header bool) {
	if header {
		fmt.Fprintf(w, "%s, simulated: %d mixers, %d readers, every %v, lease %v, %d histories each\n", r.Policy, r.Instances,
			r.Readers,
			time.Duration(r.IntervalMS*1e6), time.Duration(r.LeaseMS*1e6), r.Histories)
		fmt.Fprintf(w, "%-8s %10s %10s %10s %10s %8s %9s %10s %9s\n", "scenario", "violations", "worst gap", "bound", "worst rate",
			"at once",
			"probes/s", "bytes/s", "msgs/s")
	}
	fmt.Fprintf(w, "%-8s %10d %9.2fs %9.2fs %9.2fx %8d %9.3f %10.0f %9.1f\n", r.Scenario, r.Violations, r.WorstGapMS/1e3,
		r.GapBoundMS/1e3,
		r.WorstRateRatio, r.MostInOneInterval, r.ProbesPerS, r.BytesPerS, r.MessagesPerS)
	if r.FirstViolation != "" {
		fmt.Fprintln(w, "  first:", r.FirstViolation)
	}
}

func dutiesShow() *cli.Command {
	var asJSON bool
	return leaf(&cli.Command{Name: "show", ArgsUsage: "SOCKET",
		Usage: "Show which mixer holds which duty, since when and why, as one running mixer sees it",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Destination: &asJSON, Usage: "print the mixer's response unchanged"}}}, 1, 1,
		func(_ context.Context, c *cli.Command) error {
			socket := c.Args().First()
			client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{
				DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
					var d net.Dialer
					return d.DialContext(ctx, "unix", socket)
				}}}
			res, err := client.Get("http://mixer/")
			if err != nil {
				return fmt.Errorf("%s: %w", socket, err)
			}
			defer res.Body.Close()
			if asJSON {
				_, err := io.Copy(c.Root().Writer, res.Body)
				return err
			}
			var status struct {
				Name   string
				Counts duty.Counts
				Rows   []duty.Status
			}
			if err := json.NewDecoder(res.Body).Decode(&status); err != nil {
				return fmt.Errorf("%s: %w", socket, err)
			}
			fmt.Fprintf(c.Root().Writer, "%s: %+v\n", status.Name, status.Counts)
			t := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "kind\ttarget\tholder\tsince\tlast\tby\toutcome\ttook\tload\tdue here in\twhy")
			for _, r := range status.Rows {
				last, since, outcome := "never", "-", "-"
				if r.Last >= 0 {
					last, outcome = round(r.Last)+" ago", r.Outcome.String()
				}
				if r.Since > 0 {
					since = round(r.Since)
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", r.Kind, r.Target, dash(r.Holder), since, last, dash(r.Witness),
					outcome, round(r.Took), dash(r.Load), round(r.Due), r.Why)
			}
			return t.Flush()
		})
}

func round(d time.Duration) string { return d.Round(time.Millisecond).String() }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func dutiesKey() *cli.Command {
	return leaf(&cli.Command{Name: "key", Usage: "Print a new key for a key file"}, 0, 0,
		func(_ context.Context, c *cli.Command) error {
			b := make([]byte, 32)
			if _, err := rand.Read(b); err != nil {
				return err
			}
			fmt.Fprintln(c.Root().Writer, base64.StdEncoding.EncodeToString(b))
			return nil
		})
}
