package config

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestParseOptions checks the values of valid options, and that an error names the line of an invalid one.
func TestParseOptions(t *testing.T) {
	options, err := ParseOptions([]byte("<gullrudder>\n <!-- ours -->\n <term>30</term>\n <age-bound>5m</age-bound>\n</gullrudder>"))
	if err != nil || options.PlanningInterval != 30*time.Second || options.AgeBound != 5*time.Minute ||
		options.IdleTimeout != DefaultOptions().IdleTimeout {
		t.Fatalf("parse options: got %+v, error %v, want planning interval 30s, age bound 5m and defaults", options, err)
	}
	for text, line := range map[string]string{
		"<gullrudder>\n<turm>3</turm></gullrudder>":               "line 2",
		"<gullrudder>\n\n<term>0</term></gullrudder>":             "line 3",
		"<gullrudder>\n<term>soon</term></gullrudder>":            "line 2",
		"<gullrudder><term>3</term>\n<term>4</term></gullrudder>": "line 2",
		"<other/>":                        "line 1",
		"<gullrudder>\n<term>3</term>":    "line 2",
		"<gullrudder x=\"1\"/>":           "line 1",
		"<gullrudder>\ntext</gullrudder>": "line 2",
		"":                                "line 1",
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			_, err := ParseOptions([]byte(text))
			if err == nil || !strings.Contains(err.Error(), line) {
				t.Fatalf("error: got %v, want one that names %s", err, line)
			}
			var lineErr *LineError
			if !errors.As(err, &lineErr) || fmt.Sprintf("line %d", lineErr.Line) != line {
				t.Errorf("error: got %#v, want a LineError of %s", err, line)
			}
		})
	}
}
