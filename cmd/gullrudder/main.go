// Command gullrudder is a cluster scheduler: one program for the controllers and for
// their users.
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
