package archive

import (
	"strings"
	"testing"

	"gullrudder/internal/goldenbytes"
)

// partBytes is short, so that the run of the test has several parts of data and of index.
const partBytes = 24

// encodeRun is the text of a run's data and index, one part a line.
func encodeRun(entries []FinishedJob) ([]byte, error) {
	_, data, index, err := buildSegment(3, entries, partBytes)
	return []byte(strings.Join(data, "\n") + "\n\n" + strings.Join(index, "\n")), err
}

// decodeRun reads the entries with these ids from the text of a run.
func decodeRun(t *testing.T, text string, ids []string) []FinishedJob {
	t.Helper()
	dataText, indexText, _ := strings.Cut(text, "\n\n")
	data, index := strings.Split(dataText, "\n"), strings.Split(indexText, "\n")
	run, err := parseSegment(3, SegmentRecord{Level: 0, JobCount: len(ids), IndexParts: len(index), DataParts: len(data)}, index)
	if err != nil {
		t.Fatal(err)
	}
	var entries []FinishedJob
	for _, id := range ids {
		key, ok := keyOf(id)
		if !ok || !run.ids.Contains(key) {
			t.Fatalf("%s is not in the index", id)
		}
		part, place := run.locate(run.rank(key))
		final, known, err := findJob(data[part], place, key, id)
		if err != nil || !known {
			t.Fatalf("%s is not in part %d: %v", id, part, err)
		}
		if key < hashedKeyBit && run.cancelled.Contains(key) != final.Cancelled {
			t.Errorf("%s: the index and the data differ", id)
		}
		entries = append(entries, FinishedJob{ID: id, FinalState: final})
	}
	return entries
}

func TestGoldenBytes(t *testing.T) {
	entries := []FinishedJob{
		{ID: "job-000007", FinalState: FinalState{Tasks: 100_000}},
		{ID: "job-000412", FinalState: FinalState{Cancelled: true, Tasks: 16}},
		{ID: "job-123456789012", FinalState: FinalState{Cancelled: true, Tasks: 5}},
		{ID: "job-999999999", FinalState: FinalState{Tasks: 1}},
	}
	var ids []string
	for _, entry := range entries {
		ids = append(ids, entry.ID)
	}
	run, err := encodeRun(entries)
	if err != nil {
		t.Fatal(err)
	}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("run record", SegmentRecord{Level: 2, JobCount: 4096, IndexParts: 3, DataParts: 300}),
		goldenbytes.Bytes("run", run, func(raw []byte) ([]byte, error) { return encodeRun(decodeRun(t, string(raw), ids)) }),
	)
}
