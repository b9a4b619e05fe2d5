// Command peathollow runs the processes of the search front (proxy, agent and controller) or one mixer of the older program,
// and contains the tools for operating, testing and measuring both.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
)

func main() {
	if err := root().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "peathollow:", err)
		var code exitCode
		if errors.As(err, &code) {
			os.Exit(int(code))
		}
		os.Exit(1)
	}
}

// exitCode is an error that sets the exit status of the program.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit status %d", int(c)) }

// codedError is an error with a message and an exit status.
type codedError struct {
	error
	code exitCode
}

func (c codedError) Unwrap() []error { return []error{c.error, c.code} }
