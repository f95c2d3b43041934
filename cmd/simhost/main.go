// Command simhost runs controllers for a simulator. It speaks the simulator's protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"yarrowbarrow/internal/simwire"
)

func main() {
	if err := simwire.Run(os.Stdin, os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
