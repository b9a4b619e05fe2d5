package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"peathollow/internal/config"
	"peathollow/internal/settings"
)

func check() *cli.Command {
	var list, system bool
	return leaf(&cli.Command{Name: "check", ArgsUsage: "[SETTINGS]",
		Usage: "Check a settings file, and the platform's configuration if ROUTER_CONFIG is set",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "list", Destination: &list,
			Usage: "print a settings file with all defaults and the allowed values"},
			&cli.BoolFlag{Name: "system", Destination: &system, Usage: "the settings file belongs to a proxy, agent or controller"}}}, 0, 1,
		func(_ context.Context, c *cli.Command) error {
			out := c.Root().Writer
			if system {
				return checkSystem(out, c.Args().First(), list)
			}
			if list {
				fmt.Fprint(out, config.Help())
				return nil
			}
			env := environment(c.Args().First())
			if path := env("PEATHOLLOW_SETTINGS"); path != "" {
				b, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				o, err := config.ReadOptions(path, b)
				if err != nil {
					return err
				}
				onOff := map[bool]string{true: "on", false: "off"}
				fmt.Fprintf(out, "%s: good; duties %s, fleet %s\n", path, onOff[o.Duties.On], onOff[o.Fleet.On])
			} else if env("ROUTER_CONFIG") == "" {
				return fmt.Errorf("nothing to check: give a settings file or set ROUTER_CONFIG")
			}
			if path := env("ROUTER_CONFIG"); path != "" {
				if _, err := config.Load(env, os.ReadFile); err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: good\n", path)
			}
			return nil
		})
}

// checkSystem reads the settings file of a proxy, agent or controller as that process does or, with list, prints all keys.
func checkSystem(out io.Writer, path string, list bool) error {
	if list {
		var rows [][]any
		for _, setting := range settings.List() {
			rows = append(rows, []any{setting.Key, strings.TrimSpace(setting.Kind + " " + setting.Bounds), setting.Default, setting.Help})
		}
		return printTable(out, "key|is|default|for", rows)
	}
	if path == "" {
		path = settings.PathFromEnvironment(os.Getenv)
	}
	s, err := settings.Read(path)
	if err != nil {
		return codedError{err, exitUsage}
	}
	_, err = fmt.Fprintf(out, "%s: good; %s, class %s, zone %s, %d seeds\n", path, s.Node, s.Class, s.Zone, len(s.Seeds))
	return err
}
