// Command gullrudder is a cluster scheduler: one program for the controllers, for a site on one machine with its state service,
// machine pool and worker, and for their users. Each command has its own file: it reads its flags, calls a package and prints the
// result. Commands keep no state and make no scheduling decisions. docs/architecture.md shows which programs run where.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes, besides 0.
const (
	exitRefused     = 1 // the request was refused, or a check failed
	exitUsage       = 2 // invalid usage or settings
	exitUnavailable = 3 // the service cannot answer
	exitDamaged     = 4 // the directory of a state service is damaged or in use
)

// exitError is an error with the exit code of the program. For an error of another type the program exits with exitUsage.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func main() {
	err := rootCommand().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "gullrudder:", err)
	code := exitUsage
	var coded *exitError
	if errors.As(err, &coded) {
		code = coded.code
	}
	os.Exit(code)
}
