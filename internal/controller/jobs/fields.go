package jobs

import (
	"fmt"
	"math"
	"net/http"
	"time"

	"gullrudder/internal/units"
)

const (
	maxTextBytes = 200
	maxAmount    = 1e12
	maxDuration  = 365 * 24 * time.Hour
)

// ValidationError is the reason why a submission is refused. Users see it.
type ValidationError struct {
	Status int // HTTP status of the answer
	Reason string
}

// Error returns the reason.
func (e *ValidationError) Error() string { return e.Reason }

func invalid(format string, args ...any) error {
	return &ValidationError{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

// fieldReader reads the fields of a submission. It keeps the first error; after it the read methods return what they can, so that the
// caller checks err once at the end.
type fieldReader struct {
	values map[string]any
	err    error
}

func (f *fieldReader) reject(name, reason string) {
	if f.err == nil {
		f.err = invalid("field %s: %s", name, reason)
	}
}

func (f *fieldReader) isNull(name string) bool { return f.values[name] == nil }

func (f *fieldReader) readText(name string) string {
	text, ok := f.values[name].(string)
	if !ok || text == "" || len(text) > maxTextBytes {
		f.reject(name, "not a text of 1 to 200 bytes")
	}
	return text
}

func (f *fieldReader) readFlag(name string) bool {
	flag, ok := f.values[name].(bool)
	if !ok {
		f.reject(name, "not true or false")
	}
	return flag
}

// readAmount reads a number. Users may write whole numbers as integers or decimals.
func (f *fieldReader) readAmount(name string) float64 {
	var amount float64
	switch value := f.values[name].(type) {
	case float64:
		amount = value
	case int64:
		amount = float64(value)
	case uint64:
		amount = float64(value)
	default:
		f.reject(name, "not a number")
		return 0
	}
	if math.IsNaN(amount) || math.IsInf(amount, 0) || amount < 0 || amount > maxAmount {
		f.reject(name, "not a finite amount")
		return 0
	}
	return amount
}

// readDuration reads a number of seconds.
func (f *fieldReader) readDuration(name string) time.Duration {
	seconds := f.readAmount(name)
	if seconds > maxDuration.Seconds() {
		f.reject(name, "longer than a year")
		return 0
	}
	return units.DurationFromSeconds(seconds)
}
