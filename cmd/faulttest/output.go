package main

import (
	"fmt"
	"io"
)

// output writes the lines of a command and keeps the first error.
type output struct {
	w   io.Writer
	err error
}

// printf writes formatted text. It does nothing after an error.
func (o *output) printf(format string, args ...any) {
	if o.err == nil {
		_, o.err = fmt.Fprintf(o.w, format, args...)
	}
}
