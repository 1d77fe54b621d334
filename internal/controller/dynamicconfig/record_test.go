package dynamicconfig

import (
	"fmt"
	"strings"
	"testing"
)

// TestRecordSizeIsBounded checks that the record stays within the bytes reserved for it in its page, whatever the
// number of changes and their authors, and that the newest change is kept.
func TestRecordSizeIsBounded(t *testing.T) {
	const bytesOfSmallPage = 1900 // with a state service whose values hold 2 KiB
	for _, maxBytes := range []int{maxRecordBytes, bytesOfSmallPage} {
		t.Run(fmt.Sprint(maxBytes), func(t *testing.T) { checkRecordSize(t, maxBytes) })
	}
}

func checkRecordSize(t *testing.T, maxBytes int) {
	t.Helper()
	kept := &record{Text: strings.Repeat("x", maxTextBytes)}
	for i := range 40 {
		details := []string{strings.Repeat("c", 40), strings.Repeat("d", 40*(i%7))}
		kept.addChange(Change{Version: i + 1, Author: strings.Repeat("w", maxAuthorBytes), Details: details}, maxBytes)
		size := kept.size()
		if size > maxBytes || len(kept.Changes) == 0 || kept.Changes[0].Version != i+1 || len(kept.Changes) > maxChanges {
			t.Fatalf(
				"record after %d changes: %d bytes, changes %+v, want at most %d bytes and 1 to %d changes",
				i+1, size, kept.Changes, maxBytes, maxChanges,
			)
		}
	}
}
