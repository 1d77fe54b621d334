package jobs

import (
	"math"
	"net/http"
	"time"

	"gullrudder/internal/units"
)

const (
	maxTextBytes = 200 // the text of the validation error names this limit
	maxAmount    = 1e12
	maxDuration  = 365 * 24 * time.Hour
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

func (f *fieldReader) readString(name string) string {
	text, ok := f.values[name].(string)
	if !ok || text == "" || len(text) > maxTextBytes {
		f.reject(name, "not a text of 1 to 200 bytes")
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

// readAmount reads a number that is not negative. Users may send it as an integer or as a floating-point number.
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
