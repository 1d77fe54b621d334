package jobs

import (
	"math"
	"net/http"
	"time"

	"gullrudder/internal/units"
)

// Bounds of the values that the controllers hold. A submission beyond them is accepted, and the nearest value is held.
const (
	minAmount   = 1e-9 // of an amount above 0
	maxAmount   = 1e12
	minDuration = time.Microsecond // of a duration above 0
	maxDuration = 365 * 24 * time.Hour
)

// fieldReader reads the fields of a submission. It keeps the first error. The read methods go on after an error, so that the
// caller checks err only once, at the end.
type fieldReader struct {
	values map[string]any
	err    error
}

func (f *fieldReader) reject(name, reason string) {
	if f.err == nil {
		f.err = &ValidationError{Status: http.StatusBadRequest, Field: name, Value: describeValue(f.values[name]), Reason: reason}
	}
}

func (f *fieldReader) isNull(name string) bool { return f.values[name] == nil }

// readText reads a text that is not empty.
func (f *fieldReader) readText(name string) string {
	text, ok := f.values[name].(string)
	if !ok || text == "" {
		f.reject(name, "not a text, or empty")
	}
	return text
}

func (f *fieldReader) readBool(name string) bool {
	flag, ok := f.values[name].(bool)
	if !ok {
		f.reject(name, "not true or false")
	}
	return flag
}

// readNumber reads a number that is not negative. Users may send it as an integer or as a floating-point number.
func (f *fieldReader) readNumber(name string) float64 {
	var number float64
	switch value := f.values[name].(type) {
	case float64:
		number = value
	case int64:
		number = float64(value)
	case uint64:
		number = float64(value)
	default:
		f.reject(name, "not a number")
		return 0
	}
	if math.IsNaN(number) || math.IsInf(number, 0) || number < 0 {
		f.reject(name, "not a finite amount")
		return 0
	}
	return number
}

// readAmount reads an amount and returns the nearest one that is held. An amount above 0 stays above 0.
func (f *fieldReader) readAmount(name string) float64 {
	amount := f.readNumber(name)
	if amount == 0 {
		return 0
	}
	return min(max(amount, minAmount), maxAmount)
}

// readDuration reads a number of seconds and returns the nearest duration that is held. A duration above 0 stays above 0.
func (f *fieldReader) readDuration(name string) time.Duration {
	return heldDuration(units.DurationFromSeconds, f.readNumber(name))
}

// readDurationRoundedUp is readDuration for a duration that must not be held shorter than it was sent.
func (f *fieldReader) readDurationRoundedUp(name string) time.Duration {
	return heldDuration(units.DurationOfAtLeast, f.readNumber(name))
}

func heldDuration(convert func(seconds float64) time.Duration, seconds float64) time.Duration {
	if seconds == 0 {
		return 0
	}
	return min(max(convert(seconds), minDuration), maxDuration)
}
