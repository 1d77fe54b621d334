package dynamicconfig

import (
	"fmt"
	"strings"
	"testing"
)

// TestRecordSizeIsBounded checks that the record stays within the space reserved in its page for any number and size of changes, and
// that it keeps the newest change.
func TestRecordSizeIsBounded(t *testing.T) {
	const smallPageBytes = 1900 // for a state service with values of 2 KiB
	for _, maxBytes := range []int{maxRecordBytes, smallPageBytes} {
		t.Run(fmt.Sprint(maxBytes), func(t *testing.T) { checkRecordSize(t, maxBytes) })
	}
}

func checkRecordSize(t *testing.T, maxBytes int) {
	t.Helper()
	stored := &record{Text: strings.Repeat("x", maxTextBytes)}
	for i := range 40 {
		details := []string{strings.Repeat("c", 40), strings.Repeat("d", 40*(i%7))}
		stored.addChange(Change{Version: i + 1, Author: strings.Repeat("w", maxAuthorBytes), Details: details}, maxBytes)
		size := stored.size()
		if size > maxBytes || len(stored.Changes) == 0 || stored.Changes[0].Version != i+1 || len(stored.Changes) > maxChanges {
			t.Fatalf(
				"record after %d changes: %d bytes, changes %+v, want at most %d bytes and 1 to %d changes",
				i+1, size, stored.Changes, maxBytes, maxChanges,
			)
		}
	}
}
