package dynamicconfig

import (
	"strings"
	"testing"
)

// However many changes there are and whoever made them, the entry stays within what is reserved for
// it in its page, and the newest change is kept.
func TestRecordOfChangesIsBounded(t *testing.T) {
	for _, room := range []int{maxRecordBytes, 1900} { // 1900: pages of a state service of 2 KiB
		bounded(t, room)
	}
}

func bounded(t *testing.T, room int) {
	t.Helper()
	e := &record{Text: strings.Repeat("x", maxTextBytes)}
	for i := range 40 {
		e.addChange(
			Change{
				Version: i + 1,
				Author:  strings.Repeat("w", maxAuthorBytes),
				Details: []string{strings.Repeat("c", 40), strings.Repeat("d", 40*(i%7))},
			},
			room,
		)
		if size := e.size(); size > room || len(e.Changes) == 0 || e.Changes[0].Version != i+1 || len(e.Changes) > maxChanges {
			t.Fatalf("after %d changes: %d bytes, %d kept", i+1, size, len(e.Changes))
		}
	}
}
