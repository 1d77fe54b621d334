package jobs

import (
	"net/http"
	"strconv"
)

// FieldDependencies is the name of the field with the dependencies of a submission.
const FieldDependencies = "tows"

const (
	// maxShownBytes bounds a text from a submission in log lines and errors.
	maxShownBytes = 64
	// reasonUnreadable is the reason for a body that is not a MessagePack map.
	reasonUnreadable = "not a MessagePack map"
)

// ValidationError is the error for a submission that is refused. Users see its text.
type ValidationError struct {
	Status int    // HTTP status of the response
	Field  string // name of the first invalid field; empty: the body as a whole
	Value  string // the invalid value, shortened; of an unreadable body, the error
	Reason string // constant text without the value
}

// Error returns the field and the reason.
func (e *ValidationError) Error() string {
	if e.Field == "" {
		return e.Reason + ": " + e.Value
	}
	return "field " + e.Field + ": " + e.Reason
}

func newBodyError(err error) error {
	return &ValidationError{Status: http.StatusBadRequest, Value: err.Error(), Reason: reasonUnreadable}
}

// Shorten returns the beginning of a text from a submission, for log lines and errors.
func Shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return text[:maxShownBytes] + "..."
}

// describeValue returns a short text for a value of a submission.
func describeValue(value any) string {
	switch value := value.(type) {
	case nil:
		return "null or missing"
	case string:
		return strconv.Quote(Shorten(value))
	case bool:
		return strconv.FormatBool(value)
	case int64:
		return strconv.FormatInt(value, 10)
	case uint64:
		return strconv.FormatUint(value, 10)
	case float64:
		return strconv.FormatFloat(value, 'g', -1, 64)
	case []any:
		return "list of " + strconv.Itoa(len(value))
	}
	return "map"
}
