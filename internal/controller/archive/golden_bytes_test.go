package archive

import (
	"strings"
	"testing"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/goldenbytes"
)

// partBytes is small, so that the segment of the test has several data parts and several index parts.
const partBytes = 24

// encodeSegment returns the text of a segment: its data parts and its index parts, one part per line, with an empty line between them.
func encodeSegment(finishedJobs []finishedJob) ([]byte, error) {
	built, err := buildSegment(3, finishedJobs, partBytes)
	return []byte(strings.Join(built.data, "\n") + "\n\n" + strings.Join(built.index, "\n")), err
}

// decodeSegment returns the jobs with these IDs from the text of a segment.
func decodeSegment(t *testing.T, text string, ids []string) []finishedJob {
	t.Helper()
	dataText, indexText, _ := strings.Cut(text, "\n\n")
	data, index := strings.Split(dataText, "\n"), strings.Split(indexText, "\n")
	segment, err := parseSegment(3, SegmentRecord{Level: 0, JobCount: len(ids), IndexParts: len(index), DataParts: len(data)}, index)
	if err != nil {
		t.Fatal(err)
	}
	var finishedJobs []finishedJob
	for _, id := range ids {
		key, ok := jobKey(id)
		if !ok || !segment.keys.Contains(key) {
			t.Fatalf("%s: not in the index, want it in the index", id)
		}
		part, position := segment.locate(segment.rank(key))
		final, known, err := findJob(data[part], position, key, id)
		if err != nil || !known {
			t.Fatalf("find %s in part %d: known %v, error %v, want known", id, part, known, err)
		}
		if key < hashedKeyBit && segment.cancelled.Contains(key) != (final.State == jobs.Cancelled) {
			t.Errorf("%s: cancelled in the index %v, state in the data %v, want the same", id, segment.cancelled.Contains(key), final.State)
		}
		finishedJobs = append(finishedJobs, finishedJob{ID: id, FinalState: final})
	}
	return finishedJobs
}

func TestGoldenBytes(t *testing.T) {
	finishedJobs := []finishedJob{
		{ID: "job-000007", FinalState: jobs.FinalState{State: jobs.Done, Tasks: 100_000}},
		{ID: "job-000412", FinalState: jobs.FinalState{State: jobs.Cancelled, Tasks: 16}},
		{ID: "job-123456789012", FinalState: jobs.FinalState{State: jobs.Cancelled, Tasks: 5}},
		{ID: "job-999999999", FinalState: jobs.FinalState{State: jobs.Done, Tasks: 1}},
	}
	var ids []string
	for _, job := range finishedJobs {
		ids = append(ids, job.ID)
	}
	segment, err := encodeSegment(finishedJobs)
	if err != nil {
		t.Fatal(err)
	}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("run record", SegmentRecord{Level: 2, JobCount: 4096, IndexParts: 3, DataParts: 300}),
		goldenbytes.Bytes("run", segment, func(raw []byte) ([]byte, error) { return encodeSegment(decodeSegment(t, string(raw), ids)) }),
	)
}
