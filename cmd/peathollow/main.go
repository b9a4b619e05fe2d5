// Command peathollow is the processes of a search front, one mixer of the program before it, and the tools of those
// who run either.
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

// exitCode is an error that asks for a status of its own.
type exitCode int

func (c exitCode) Error() string { return fmt.Sprintf("exit status %d", int(c)) }

// coded is an error whose text says what was wrong and that asks for a status besides.
type coded struct {
	error
	code exitCode
}

func (c coded) Unwrap() []error { return []error{c.error, c.code} }
