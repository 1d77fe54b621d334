// Command gullrudder is a cluster scheduler: one program for the controllers, for a site on one machine with its state service,
// machine pool and worker, and for their users. Each command has its file; they read flags, call a package and print what it
// returns. They own no state and decide nothing. docs/architecture.md shows which programs run where.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes, besides 0.
const (
	exitRefused     = 1 // the request was refused, or something is wrong
	exitUsage       = 2 // wrong usage or settings
	exitUnavailable = 3 // the service cannot answer
	exitDamaged     = 4 // the directory of a state service is damaged or in use
)

// exitError is an error with the exit code that it ends the program with. Other errors end it with exitUsage.
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
