package main

import (
	"fmt"
	"io"
	"sync"
)

// printer writes to an output and keeps the first write error, which the command checks once at its end. After an error it writes
// nothing more. It is safe for concurrent use.
type printer struct {
	mu  sync.Mutex
	out io.Writer
	err error
}

func newPrinter(out io.Writer) *printer { return &printer{out: out} }

func (p *printer) printf(format string, values ...any) {
	p.print(fmt.Sprintf(format, values...))
}

func (p *printer) println(text string) { p.print(text + "\n") }

func (p *printer) print(text string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err == nil {
		_, p.err = io.WriteString(p.out, text)
	}
}

// firstError returns the error of the first write that failed.
func (p *printer) firstError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("write output: %w", p.err)
	}
	return nil
}
