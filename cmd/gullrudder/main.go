// Command gullrudder is a cluster scheduler: one program for the controllers (serve), the processes of a site on one machine (up and
// the parts that it runs), and the commands of operators and users.
//
// The package reads flags and prints responses. It owns no state and decides nothing about jobs or machines: that is done by
// internal/controller, internal/site and internal/console. docs/architecture.md shows how the processes work together.
package main

import (
	"errors"
	"fmt"
	"os"
)

// exitError is an error with the exit code it ends the program with.
type exitError struct {
	code int
	err  error
}

func (f *exitError) Error() string { return f.err.Error() }
func (f *exitError) Unwrap() error { return f.err }

func main() {
	if err := rootCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "gullrudder:", err)
		var f *exitError
		if errors.As(err, &f) {
			os.Exit(f.code)
		}
		os.Exit(2)
	}
}
