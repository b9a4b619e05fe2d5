// Command peathollow is one mixer on sockets, and the tools of those who run it.
package main

import (
	"errors"
	"fmt"
	"os"
)

func main() {
	if err := root().Execute(); err != nil {
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
