package main

import (
	"errors"
	"strings"
	"testing"
)

var errOutput = errors.New("output closed")

// failingWriter accepts a number of writes and then fails.
type failingWriter struct {
	accepted int
	written  strings.Builder
}

func (w *failingWriter) Write(text []byte) (int, error) {
	if w.accepted == 0 {
		return 0, errOutput
	}
	w.accepted--
	return w.written.Write(text)
}

// TestPrinterKeepsFirstError checks that a printer reports its first error and writes nothing after it.
func TestPrinterKeepsFirstError(t *testing.T) {
	out := &failingWriter{accepted: 1}
	p := newPrinter(out)
	p.printf("%d\n", 1)
	if err := p.firstError(); err != nil {
		t.Errorf("error after a successful write: got %v, want none", err)
	}
	p.println("2")
	out.accepted = 1
	p.println("3")
	if err := p.firstError(); !errors.Is(err, errOutput) {
		t.Errorf("error after a failed write: got %v, want %v", err, errOutput)
	}
	if got, want := out.written.String(), "1\n"; got != want {
		t.Errorf("written after the first error: got %q, want %q", got, want)
	}
}

// TestCommandsReportFailedWrites checks that a command whose output cannot be written returns an error.
func TestCommandsReportFailedWrites(t *testing.T) {
	for name, args := range map[string][]string{
		"version":               {"version"},
		"doctor without a site": {"doctor", "--data", t.TempDir()},
		"inspect as a table":    {"state", "inspect", t.TempDir()},
		"inspect as JSON":       {"state", "inspect", "--output", "json", t.TempDir()},
		"install":               {"install", t.TempDir() + "/unit"},
	} {
		t.Run(name, func(t *testing.T) {
			cmd := rootCommand()
			cmd.SetArgs(args)
			cmd.SetOut(&failingWriter{})
			if err := cmd.Execute(); !errors.Is(err, errOutput) {
				t.Errorf("error of the command: got %v, want %v", err, errOutput)
			}
		})
	}
}
