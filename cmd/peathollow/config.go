package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"peathollow/client"
	"peathollow/manifest"
)

func configuration() *cli.Command {
	return group("config", "Read, check, compare and change the configuration of a running system",
		configGet(), configPut(), configCheck(), configDiff())
}

// readConfig reads and validates the configuration file given as the argument; "-" is standard input.
func readConfig(c *cli.Command) ([]byte, *manifest.Manifest, error) {
	file := c.Args().First()
	var raw []byte
	var err error
	if file == "-" {
		file = "standard input"
		raw, err = io.ReadAll(io.LimitReader(c.Root().Reader, manifest.MaxBytes+1))
	} else {
		raw, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, nil, err
	}
	m, err := client.Check(file, raw)
	if err != nil {
		return nil, nil, codedError{err, exitUsage}
	}
	return raw, m, nil
}

// fetchConfig gets the configuration in force, or nil if there is none yet.
func fetchConfig(ctx context.Context, control *client.Client) (*manifest.Manifest, error) {
	raw, err := control.Config(ctx)
	if err != nil || raw == nil {
		return nil, err
	}
	m, err := manifest.Parse(raw)
	if err != nil {
		return nil, errors.Wrap(err, "configuration in force")
	}
	return m, nil
}

func configGet() *cli.Command {
	var r systemFlags
	return r.command(&cli.Command{Name: "get", Usage: "Print the configuration in force: a table, or with --json the document as it was sent"}, 0,
		func(ctx context.Context, control *client.Client, c *cli.Command) error {
			m, err := fetchConfig(ctx, control)
			if err != nil {
				return err
			}
			if m == nil {
				return errors.New("there is no configuration yet")
			}
			if r.asJSON {
				_, err := fmt.Fprintln(c.Root().Writer, strings.TrimSpace(string(m.Raw)))
				return err
			}
			return showConfig(c.Root().Writer, m)
		})
}

func showConfig(out io.Writer, m *manifest.Manifest) error {
	fmt.Fprintf(out, "version %d; %d routes, %d services\n", m.Version, len(m.Routes), len(m.Services))
	var rows [][]any
	for _, r := range m.Routes {
		kind, targets := "to", m.ServicesOf(r)
		switch {
		case len(r.FanOut) > 0:
			kind = fmt.Sprintf("best %d of, %g at least", r.TopK, r.MinCoverage)
		case len(r.Split) > 0:
			kind = "one of"
			for i, s := range r.Split {
				targets[i] = fmt.Sprintf("%s (%g)", s.Service, s.Gain)
			}
		}
		mode := "once"
		if r.Idempotent {
			mode = "repeatable"
		}
		rows = append(rows, []any{r.Name, r.Host + r.Prefix, mode, r.Rank, r.Setpoint, r.Horizon, r.Retries, kind,
			strings.Join(targets, " ")})
	}
	return printTable(out, "route|for|mode|rank|setpoint|horizon|retries|goes|services", rows)
}

func configPut() *cli.Command {
	var r systemFlags
	var watch bool
	return r.command(&cli.Command{Name: "put", ArgsUsage: "FILE",
		Usage: "Check a configuration, send it, and wait until it is acknowledged", Flags: []cli.Flag{
			&cli.BoolFlag{Name: "watch", Destination: &watch, Usage: "wait until every node reports it as in force"}}}, 1,
		func(ctx context.Context, control *client.Client, c *cli.Command) error {
			raw, m, err := readConfig(c)
			if err != nil {
				return err
			}
			inForce, err := control.Put(ctx, raw)
			if err != nil {
				return err
			}
			out := c.Root().Writer
			printLine := func(format string, a ...any) {
				if !r.asJSON {
					fmt.Fprintf(out, format+"\n", a...)
				}
			}
			if inForce > m.Version {
				printLine("version %d acknowledged; version %d was in force already and stays", m.Version, inForce)
			} else {
				printLine("version %d acknowledged", m.Version)
			}
			if watch {
				err := control.WaitForVersion(ctx, m.Version, func(have, of int) { printLine("in force on %d of %d nodes", have, of) })
				if err != nil {
					return err
				}
			}
			if r.asJSON {
				return printJSON(out, map[string]any{"sent": m.Version, "held": inForce, "everywhere": watch})
			}
			return nil
		})
}

func configCheck() *cli.Command {
	var asJSON bool
	return operatorCommand(&cli.Command{Name: "check", ArgsUsage: "FILE",
		Usage: "Check a configuration without a running system; - is standard input",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "json", Destination: &asJSON, Usage: "print JSON"}}}, 1,
		func(_ context.Context, c *cli.Command) error {
			_, m, err := readConfig(c)
			out := c.Root().Writer
			if asJSON {
				var invalid *client.InvalidError
				if errors.As(err, &invalid) {
					if err := printJSON(out, map[string]any{"valid": false, "file": invalid.File, "line": invalid.Line, "path": invalid.Path,
						"why": invalid.Reason}); err != nil {
						return err
					}
				} else if err == nil {
					return printJSON(out, map[string]any{"valid": true, "config-version": m.Version, "routes": len(m.Routes),
						"services": len(m.Services)})
				}
			}
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(out, "%s: good; version %d, %d routes, %d services\n", c.Args().First(), m.Version, len(m.Routes),
				len(m.Services))
			return err
		})
}

func configDiff() *cli.Command {
	var r systemFlags
	return r.command(&cli.Command{Name: "diff", ArgsUsage: "FILE", Usage: "Show how a configuration differs from the one in force"},
		1,
		func(ctx context.Context, control *client.Client, c *cli.Command) error {
			_, m, err := readConfig(c)
			if err != nil {
				return err
			}
			current, err := fetchConfig(ctx, control)
			if err != nil {
				return err
			}
			diff := client.Compare(current, m)
			if r.asJSON {
				return printJSON(c.Root().Writer, diff)
			}
			return showDiff(c.Root().Writer, &diff)
		})
}

func showDiff(out io.Writer, d *client.Diff) error {
	fmt.Fprintf(out, "version %d in force, %d in the file\n", d.From, d.To)
	if d.To <= d.From {
		fmt.Fprintln(out, "the file would be acknowledged and change nothing: its version is not above the one in force")
	}
	if d.Empty() {
		_, err := fmt.Fprintln(out, "no difference")
		return err
	}
	var rows [][]any
	for _, x := range []struct {
		kind string
		client.NameChanges
	}{{"route", d.Routes}, {"service", d.Services}} {
		for _, name := range x.Added {
			rows = append(rows, []any{"added", x.kind, name, "", ""})
		}
		for _, name := range x.Removed {
			rows = append(rows, []any{"removed", x.kind, name, "", ""})
		}
		for _, change := range x.Changed {
			if len(change.Fields) == 0 {
				rows = append(rows, []any{"changed", x.kind, change.Name, "", ""})
			}
			for _, f := range change.Fields {
				rows = append(rows, []any{"changed", x.kind, change.Name, f.Name, f.Before + " -> " + f.After})
			}
		}
	}
	for _, f := range d.Limits {
		rows = append(rows, []any{"changed", "limits", "", f.Name, f.Before + " -> " + f.After})
	}
	return printTable(out, "what|of|name|field|values", rows)
}
