// Command simhost runs mixers for the benchmark simulator and speaks its line protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"peathollow/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
