// Command gullrudder is a cluster scheduler: one program for the controllers and for
// their users.
package main

import (
	"errors"
	"fmt"
	"os"
)

// failure is an error with the exit code it ends the program with.
type failure struct {
	code int
	err  error
}

func (f *failure) Error() string { return f.err.Error() }
func (f *failure) Unwrap() error { return f.err }

func main() {
	if err := root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "gullrudder:", err)
		var f *failure
		if errors.As(err, &f) {
			os.Exit(f.code)
		}
		os.Exit(2)
	}
}
