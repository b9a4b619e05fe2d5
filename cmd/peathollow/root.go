package main

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/urfave/cli/v3"
)

// root returns the root command. Without a subcommand it serves as a mixer, which is how the platform starts it.
func root() *cli.Command {
	c := serve()
	c.Name = "peathollow"
	c.Usage = "A search front over sharded indexes and a coordinator of queries over replicated shards"
	c.Description = "Without a command, peathollow serves as one mixer, configured by ROUTER_CONFIG and, for its own settings, " +
		"PEATHOLLOW_SETTINGS or --settings. proxy, agent and controller are the processes of the search front."
	c.HideHelpCommand = false
	c.EnableShellCompletion = true
	c.Commands = append([]*cli.Command{serve(), check(), try(), duties(), verify(), version(),
		status(), nodes(), searchers(), configuration(), lab()}, systemCommands()...)
	// The library passes a command only the flags after its name. Flags before the name belong to the root command.
	c.Before = func(ctx context.Context, c *cli.Command) (context.Context, error) {
		if name := c.Args().First(); c.IsSet("settings") && name != "" && name != "serve" {
			return ctx, fmt.Errorf("unknown flag: --settings")
		}
		return ctx, nil
	}
	// Only main prints errors and sets the exit status.
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	setUsageErrorHandlers(c)
	return c
}

// setUsageErrorHandlers makes every command report a wrong flag only as an error; by default the library also prints the help.
func setUsageErrorHandlers(c *cli.Command) {
	if c.OnUsageError == nil {
		c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return flagError(err) }
	}
	for _, sub := range c.Commands {
		setUsageErrorHandlers(sub)
	}
}

// flagError rewords the library's error for an unknown flag.
func flagError(err error) error {
	if name, ok := strings.CutPrefix(err.Error(), "flag provided but not defined: -"); ok {
		return fmt.Errorf("unknown flag: --%s", name)
	}
	return err
}

// leaf prepares a command without subcommands that takes minArgs to maxArgs arguments.
func leaf(c *cli.Command, minArgs, maxArgs int, run func(context.Context, *cli.Command) error) *cli.Command {
	c.HideHelpCommand = true // "help" may be the name of a file
	c.Action = func(ctx context.Context, c *cli.Command) error {
		switch n := c.Args().Len(); {
		case maxArgs == 0 && n > 0:
			return fmt.Errorf("unknown command %q for %q", c.Args().First(), c.FullName())
		case n < minArgs || n > maxArgs && minArgs == maxArgs:
			return fmt.Errorf("accepts %d arg(s), received %d", minArgs, n)
		case n > maxArgs:
			return fmt.Errorf("accepts at most %d arg(s), received %d", maxArgs, n)
		}
		return run(ctx, c)
	}
	return c
}

// group returns a command that has only subcommands.
func group(name, usage string, subs ...*cli.Command) *cli.Command {
	return &cli.Command{Name: name, Usage: usage, Commands: subs,
		Action: func(_ context.Context, c *cli.Command) error { return cli.ShowSubcommandHelp(c) }}
}

func version() *cli.Command {
	return leaf(&cli.Command{Name: "version", Usage: "Print the version and commit of this program"}, 0, 0,
		func(_ context.Context, c *cli.Command) error {
			b, ok := debug.ReadBuildInfo()
			if !ok {
				return fmt.Errorf("the program contains no build information")
			}
			rev, state := "unknown", ""
			for _, s := range b.Settings {
				switch {
				case s.Key == "vcs.revision":
					rev = s.Value
				case s.Key == "vcs.modified" && s.Value == "true":
					state = ", changed since"
				}
			}
			fmt.Fprintf(c.Root().Writer, "peathollow %s (commit %s%s), %s\n", b.Main.Version, rev, state, b.GoVersion)
			return nil
		})
}
