package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"peathollow/internal/config"
)

func check() *cobra.Command {
	var list bool
	c := &cobra.Command{Use: "check [SETTINGS]", Short: "Check a settings file, and the platform's configuration if ROUTER_CONFIG names one",
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			out := c.OutOrStdout()
			if list {
				fmt.Fprint(out, config.Help())
				return nil
			}
			env := environment("")
			if len(args) > 0 {
				env = environment(args[0])
			}
			if path := env("PEATHOLLOW_SETTINGS"); path != "" {
				b, err := os.ReadFile(path)
				if err != nil {
					return err
				}
				o, err := config.ReadOurs(path, b)
				if err != nil {
					return err
				}
				on := map[bool]string{true: "on", false: "off"}
				fmt.Fprintf(out, "%s: good; duties %s, fleet %s\n", path, on[o.Duties.On], on[o.Fleet.On])
			} else if env("ROUTER_CONFIG") == "" {
				return fmt.Errorf("nothing to check: name a settings file, or set ROUTER_CONFIG")
			}
			if path := env("ROUTER_CONFIG"); path != "" {
				if _, err := config.Load(env, os.ReadFile); err != nil {
					return err
				}
				fmt.Fprintf(out, "%s: good\n", path)
			}
			return nil
		}}
	c.Flags().BoolVar(&list, "list", false, "print a settings file with all defaults and what is allowed")
	return c
}
