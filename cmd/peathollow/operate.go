package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"
	"unicode"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"

	"peathollow/client"
	"peathollow/internal/settings"
)

// exitUsage is the exit status of operators' commands on wrong usage and on an invalid configuration. They exit with 1 on any
// other error.
const exitUsage = exitCode(2)

// systemFlags holds the flags that select the system a command operates on, and those for its timeout and output.
type systemFlags struct {
	control  string
	settings string
	timeout  time.Duration
	asJSON   bool
}

func (r *systemFlags) flags(more ...cli.Flag) []cli.Flag {
	return append(more,
		&cli.StringFlag{Name: "control", Destination: &r.control, Usage: "control addresses of controllers, `HOST:PORT[,HOST:PORT]`"},
		&cli.StringFlag{Name: "settings", Destination: &r.settings,
			Usage: "settings `FILE` whose seeds are called without --control; default: the value of PEATHOLLOW_SETTINGS"},
		&cli.DurationFlag{Name: "timeout", Value: 10 * time.Second, Destination: &r.timeout, Usage: "give up after this time"},
		&cli.BoolFlag{Name: "json", Destination: &r.asJSON, Usage: "print JSON"})
}

// operatorCommand is like leaf with exactly args arguments, but wrong usage exits with exitUsage, and SIGINT and SIGTERM cancel
// the context.
func operatorCommand(c *cli.Command, args int, run func(context.Context, *cli.Command) error) *cli.Command {
	c = leaf(c, args, args, func(ctx context.Context, c *cli.Command) error {
		ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
		defer stop()
		return run(ctx, c)
	})
	action := c.Action
	c.Action = func(ctx context.Context, c *cli.Command) error {
		if n := c.Args().Len(); n != args {
			return codedError{action(ctx, c), exitUsage}
		}
		return action(ctx, c)
	}
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return codedError{flagError(err), exitUsage}
	}
	return c
}

// command is like operatorCommand with the flags of r and a client for the system that they select.
func (r *systemFlags) command(c *cli.Command, args int,
	run func(context.Context, *client.Client, *cli.Command) error) *cli.Command {
	c.Flags = r.flags(c.Flags...)
	return operatorCommand(c, args, func(ctx context.Context, c *cli.Command) error {
		addrs, err := r.addresses()
		if err != nil {
			return codedError{err, exitUsage}
		}
		ctx, stop := context.WithTimeout(ctx, r.timeout)
		defer stop()
		control := client.New(addrs...)
		defer control.Close()
		return run(ctx, control, c)
	})
}

// addresses returns the control addresses given by a flag or, without it, the seeds of the settings file.
func (r *systemFlags) addresses() ([]string, error) {
	if r.timeout <= 0 {
		return nil, errors.Errorf("--timeout %v: must be above 0", r.timeout)
	}
	if r.control != "" {
		addrs := strings.Split(r.control, ",")
		for i, a := range addrs {
			if addrs[i] = strings.TrimSpace(a); !isAddress(addrs[i]) {
				return nil, errors.Errorf("--control %s: expected host:port", a)
			}
		}
		return addrs, nil
	}
	path := r.settings
	if path == "" {
		path = settings.PathFromEnvironment(os.Getenv)
	}
	s, err := settings.Read(path)
	if err != nil {
		return nil, errors.Wrap(err, "no --control is given")
	}
	if len(s.Seeds) == 0 {
		return nil, errors.Errorf("settings %s: no seeds, and no --control is given", path)
	}
	return s.Seeds, nil
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	_, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != ""
}

func printJSON(out io.Writer, value any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// printTable prints rows in columns under a header, whose titles are separated by "|". Empty cells are printed as "-".
func printTable(out io.Writer, header string, rows [][]any) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, strings.ReplaceAll(header, "|", "\t"))
	for _, row := range rows {
		for i, cell := range row {
			if i > 0 {
				fmt.Fprint(t, "\t")
			}
			fmt.Fprint(t, tableCell(fmt.Sprint(cell)))
		}
		fmt.Fprintln(t)
	}
	return t.Flush()
}

// tableCell returns what a table shows for a value. Characters that would break the table are quoted.
func tableCell(value string) string {
	switch {
	case value == "":
		return "-"
	case strings.ContainsFunc(value, func(c rune) bool { return !unicode.IsPrint(c) }):
		return strconv.Quote(value)
	}
	return value
}

func status() *cli.Command {
	var r systemFlags
	return r.command(&cli.Command{Name: "status", Usage: "Show the controllers of a running system, each with its own view of the group"}, 0,
		func(ctx context.Context, control *client.Client, c *cli.Command) error {
			controllers, err := control.Controllers(ctx)
			if err != nil {
				return err
			}
			if r.asJSON {
				return printJSON(c.Root().Writer, controllers)
			}
			return showStatus(c.Root().Writer, controllers)
		})
}

func showStatus(out io.Writer, controllers []client.ControllerStatus) error {
	var rows [][]any
	for _, controller := range controllers {
		s := controller.Status
		if s == nil {
			rows = append(rows, []any{controller.Control, "", "", "no answer", "", "", "", "", controller.Fault})
			continue
		}
		rows = append(rows, []any{controller.Control, s.Node, s.Zone, controllerState(s), s.Epoch, s.Version, s.Searchers, s.Mixers,
			""})
	}
	return printTable(out, "control|node|zone|is|epoch|config|searchers|fronts|fault", rows)
}

// controllerState describes the role of a controller in the latest epoch that it knows.
func controllerState(s *client.Status) string {
	state := "witness"
	for _, id := range s.InSync {
		if id == s.ID {
			state = "in sync"
		}
	}
	for _, m := range s.Members {
		if m.ID == s.ID && m.Address == s.Primary {
			state = "primary"
		}
	}
	if s.Isolated {
		state += ", alone"
	}
	return state
}

func nodes() *cli.Command {
	var r systemFlags
	return r.command(&cli.Command{Name: "nodes", Usage: "Show the machines of a running system and the configuration each has in force"}, 0,
		func(ctx context.Context, control *client.Client, c *cli.Command) error {
			list, err := control.Nodes(ctx)
			if err != nil {
				return err
			}
			if r.asJSON {
				return printJSON(c.Root().Writer, list)
			}
			return showNodes(c.Root().Writer, list)
		})
}

func showNodes(out io.Writer, list []client.Node) error {
	var rows [][]any
	for _, n := range list {
		version, lastContact := fmt.Sprint(n.Version), fmt.Sprintf("%v ago", time.Duration(n.LastContactMs)*time.Millisecond)
		if n.Version == 0 {
			version = "not told"
		}
		if n.Fault != "" {
			lastContact = "no answer"
		}
		rows = append(rows, []any{n.Node, n.Role, version, lastContact, n.Via, n.Fault})
	}
	return printTable(out, "node|role|config|heard|by|fault", rows)
}

func searchers() *cli.Command {
	var r systemFlags
	var service string
	return r.command(&cli.Command{Name: "searchers", Usage: "List the searchers of a running system", Flags: []cli.Flag{
		&cli.StringFlag{Name: "service", Destination: &service, Usage: "only those of `SERVICE`"}}}, 0,
		func(ctx context.Context, control *client.Client, c *cli.Command) error {
			list, err := control.Searchers(ctx, service)
			if err != nil {
				return err
			}
			if r.asJSON {
				return printJSON(c.Root().Writer, list)
			}
			return showSearchers(c.Root().Writer, list)
		})
}

func showSearchers(out io.Writer, list []client.Searcher) error {
	var rows [][]any
	for _, s := range list {
		warmupLeft := ""
		if s.WarmupLeftMs > 0 {
			warmupLeft = fmt.Sprint(time.Duration(s.WarmupLeftMs) * time.Millisecond)
		}
		rows = append(rows, []any{s.Service, s.ID, s.Address, s.Zone, s.State, s.Capacity, warmupLeft, s.ConfigVersion, s.Source})
	}
	return printTable(out, "service|id|address|zone|state|capacity|slow for|software|reports to", rows)
}
