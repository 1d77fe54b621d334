package jobs

import (
	"encoding/hex"
	"errors"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/submissiontest"
	"gullrudder/internal/wire/workerapi"

	"github.com/google/go-cmp/cmp"
)

// refusedBody is the submission that got 400 in the incident of December 5, 2026, as it was sent. voyage_s is 1e-60.
const refusedBody = "de0014a56265727468ab74616c6c792d6d65726765a56361726473cb0000000000000000a463707573cb3ff0000000000000a463726577af" +
	"686172766573742d7265636f726473a96472696674776f6f64c3a7686172626f7572c0a768656164696e67a87374616e64617264a468756c6ca769" +
	"6d672d333030a26964aa6a6f622d303434323037a8696d6167655f6762cb3fb999999999999aa56b65656c73c0aa6c616e6466616c6c5f73c0a66d" +
	"656d5f6762cb4000cccccccccccda96d6f6f72696e675f73cb0000000000000000a86f6e655f7a6f6e65c2a3726967a56172726179a6737072656164" +
	"c2a77374726f6b657373a774696575705f73cb0000000000000000a8766f796167655f73cb3379b604aaaca626"

// TestRefusedSubmissionOfIncidentIsAccepted guards against the refusal of an array whose estimate is less than a nanosecond.
func TestRefusedSubmissionOfIncidentIsAccepted(t *testing.T) {
	body, err := hex.DecodeString(refusedBody)
	if err != nil {
		t.Fatal(err)
	}
	spec, err := ParseSpec(body)
	if err != nil {
		t.Fatalf("parse: got error %v, want none", err)
	}
	if spec.RunTimeEstimate <= 0 || spec.Tasks != 115 || spec.ID != "job-044207" {
		t.Errorf("spec: got %+v, want job-044207 with 115 tasks and an estimate above 0", spec)
	}
}

// amountFields are the fields that hold an amount. Each has no bound in the protocol.
var amountFields = []string{"cpus", "cards", "mem_gb", "image_gb", "voyage_s", "mooring_s", "tieup_s", "landfall_s"}

// TestValidSubmissionsAreAccepted guards against the refusal of a value that the protocol allows. It sends each value in every spelling.
func TestValidSubmissionsAreAccepted(t *testing.T) {
	rng := rand.New(rand.NewPCG(55, 1))
	for _, field := range amountFields {
		for _, amount := range submissiontest.Amounts() {
			expectAccepted(t, rng, field+"="+strconv.FormatFloat(amount, 'g', -1, 64), submissionWith(field, amount))
		}
	}
	long := strings.Repeat("long \"name\" ", 2000)
	manyTypes := make([]string, 5000)
	for i := range manyTypes {
		manyTypes[i] = "type-" + strconv.Itoa(i)
	}
	for name, fields := range map[string]map[string]any{
		"long class":                submissionWith("berth", long),
		"long image":                submissionWith("hull", long),
		"many types":                submissionWith("keels", manyTypes),
		"empty type name":           submissionWith("keels", []string{"", "g8"}),
		"deadline at submission":    submissionWith("landfall_s", 0),
		"tasks that take nothing":   withAll(submission(), map[string]any{"cpus": 0, "cards": 0, "mem_gb": 0}),
		"service without estimate":  withAll(submission(), map[string]any{"rig": "service", "voyage_s": 0}),
		"largest number of tasks":   submissionWith("strokes", MaxTasks),
		"all optional fields null":  withAll(submission(), map[string]any{"keels": nil, "harbour": nil, "landfall_s": nil, "tows": nil}),
		"64 dependencies, repeated": submissionWith("tows", slices.Repeat([]string{"job-1", "job-2"}, 500)),
	} {
		expectAccepted(t, rng, name, fields)
	}
}

// withAll returns the fields with some of them replaced.
func withAll(fields, replaced map[string]any) map[string]any {
	for name, value := range replaced {
		fields[name] = value
	}
	return fields
}

// expectAccepted checks that a submission is accepted in several random spellings, with the same meaning each time.
func expectAccepted(t *testing.T, rng *rand.Rand, name string, fields map[string]any) {
	t.Helper()
	const spellings = 8
	var first Spec
	for i := range spellings {
		spec, err := ParseSpec(submissiontest.Encode(rng, fields))
		if err != nil {
			t.Errorf("%s: got error %v, want none", name, err)
			return
		}
		checkHeld(t, name, spec)
		if i == 0 {
			first = spec
		} else if diff := cmp.Diff(first, spec); diff != "" {
			t.Errorf("%s: another spelling has another meaning (-first +other):\n%s", name, diff)
		}
	}
}

// checkHeld checks that an accepted submission holds only values that the controllers can calculate with.
func checkHeld(t *testing.T, name string, spec Spec) {
	t.Helper()
	const longest = 10 * 365 * 24 * time.Hour
	for _, duration := range []time.Duration{spec.RunTimeEstimate, spec.CheckpointInterval, spec.CheckpointDuration, spec.Deadline} {
		if duration < 0 || duration > longest {
			t.Errorf("%s: got a duration of %v, want 0 to %v", name, duration, longest)
		}
	}
	for _, amount := range []float64{spec.CPUs, spec.GPUs, spec.MemoryGB, spec.ImageGB} {
		if amount < 0 || amount*MaxTasks > 1e300 || amount > 0 && amount < 1e-12 {
			t.Errorf("%s: got an amount of %g, want 0 or 1e-12 to 1e295", name, amount)
		}
	}
	if spec.CPUs+spec.GPUs+spec.MemoryGB == 0 {
		t.Errorf("%s: got a task without resources; a stored record without them is one of a finished job", name)
	}
	if !spec.IsService && spec.RunTimeEstimate == 0 {
		t.Errorf("%s: got an array without an estimate", name)
	}
}

// TestUnknownFieldsAreIgnored guards against the refusal of a submission with unknown fields, however deep they are nested.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	known := submissiontest.Encode(rand.New(rand.NewPCG(55, 2)), submission())
	want, err := ParseSpec(known)
	if err != nil {
		t.Fatal(err)
	}
	for _, depth := range []int{1, 15, 16, 17, 1000, 64_000} {
		body := appendField(t, submission(), "unknown", submissiontest.Nested(depth))
		got, err := ParseSpec(body)
		if diff := cmp.Diff(want, got); err != nil || diff != "" {
			t.Errorf("unknown field nested %d deep: got error %v, spec (-want +got):\n%s", depth, err, diff)
		}
	}
	for _, depth := range []int{1, 17, 64_000} {
		if _, err := ParseSpec(appendField(t, withoutField("cpus"), "cpus", submissiontest.Nested(depth))); err == nil {
			t.Errorf("cpus is a list nested %d deep: got no error, want one", depth)
		}
	}
}

func withoutField(name string) map[string]any {
	fields := submission()
	delete(fields, name)
	return fields
}

func mustMarshal(t *testing.T, message any) []byte {
	t.Helper()
	raw, err := codec.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// appendField encodes the fields and one more, whose value is encoded already.
func appendField(t *testing.T, fields map[string]any, name string, value []byte) []byte {
	t.Helper()
	body := mustMarshal(t, fields)
	header := []byte{0xde, 0, byte(len(fields) + 1)}
	if body[0] != 0xde {
		t.Fatalf("first byte of %d fields: got %x, want a map with a length of 16 bits", len(fields), body[0])
	}
	body = append(header, body[3:]...)
	body = append(body, mustMarshal(t, name)...)
	return append(body, value...)
}

// TestMalformedSubmissionsGet400 checks that values which no sentence of the protocol allows are refused in every spelling.
func TestMalformedSubmissionsGet400(t *testing.T) {
	rng := rand.New(rand.NewPCG(55, 3))
	for _, field := range amountFields {
		for _, amount := range []float64{-1, -math.SmallestNonzeroFloat64, -1e300, math.NaN(), math.Inf(1), math.Inf(-1)} {
			expectRefused(t, rng, submissionWith(field, amount), field)
		}
		for _, value := range []any{"1", true, []any{1}} {
			expectRefused(t, rng, submissionWith(field, value), field)
		}
	}
	expectRefused(t, rng, submissionWith("voyage_s", 0), "voyage_s")
	expectRefused(t, rng, submissionWith("strokes", float64(MaxTasks+1)), "strokes")
	expectRefused(t, rng, submissionWith("strokes", 1e300), "strokes")
	expectRefused(t, rng, submissionWith("id", "job-"), "id")
	expectRefused(t, rng, submissionWith("heading", "HIGH"), "heading")
	expectRefused(t, rng, submissionWith("rig", "Array"), "rig")
}

func expectRefused(t *testing.T, rng *rand.Rand, fields map[string]any, field string) {
	t.Helper()
	_, err := ParseSpec(submissiontest.Encode(rng, fields))
	var invalid *ValidationError
	if !errors.As(err, &invalid) || invalid.Status != http.StatusBadRequest || invalid.Field != field {
		t.Errorf("%s = %v: got error %v, want a ValidationError of this field with status 400", field, fields[field], err)
	}
}

// TestKillGrantsSubmittedTimeToSave guards against a kill command that grants less than tieup_s, after which a worker ends the task at once
// and its work is lost. The job may also have been stored by a version that rounds down, or be read by one.
func TestKillGrantsSubmittedTimeToSave(t *testing.T) {
	fields := submission()
	tooShort, shortenedByOthers := 0, 0
	for hundredths := 1; hundredths < 100_000; hundredths++ {
		seconds := float64(hundredths) / 100
		fields["tieup_s"] = seconds
		spec, err := ParseSpec(mustMarshal(t, fields))
		if err != nil {
			t.Fatal(err)
		}
		restored, err := FromRecord(spec.ID, New(spec, time.Unix(1000, 0)).Record())
		if err != nil {
			t.Fatal(err)
		}
		storedRoundedDown := time.Duration(seconds * float64(time.Second))
		for _, duration := range []time.Duration{spec.CheckpointDuration, restored.CheckpointDuration, storedRoundedDown} {
			if *workerapi.KillAfterCheckpoint("job-1/0", 1, duration).GraceSeconds < seconds {
				tooShort++
			}
		}
		if readRoundedDown := time.Duration(spec.CheckpointDuration.Seconds() * float64(time.Second)); readRoundedDown.Seconds() < seconds {
			shortenedByOthers++
		}
	}
	if tooShort > 0 || shortenedByOthers > 0 {
		t.Errorf("grants of less than the submitted time: got %d, and %d by a version that rounds down, want 0", tooShort, shortenedByOthers)
	}
}

// TestSubmissionWithManyDependenciesIsAccepted guards against a bound on the number of dependencies that the protocol does not have.
func TestSubmissionWithManyDependenciesIsAccepted(t *testing.T) {
	ids := make([]string, 65)
	for i := range ids {
		ids[i] = "job-" + strconv.Itoa(i)
	}
	if _, err := ParseSpec(mustMarshal(t, submissionWith("tows", ids))); err != nil {
		t.Errorf("65 dependencies: got error %v, want none", err)
	}
}
