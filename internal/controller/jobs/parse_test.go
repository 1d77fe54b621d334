package jobs

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gullrudder/internal/wire/codec"

	"github.com/google/go-cmp/cmp"
)

// submission returns a valid submission as users send it.
func submission() map[string]any {
	return map[string]any{
		"id": "job-000412", "berth": "train", "crew": "vision", "rig": "array", "heading": "high", "strokes": 16,
		"cpus": 8.0, "cards": 1.0, "mem_gb": 64.0, "hull": "img-07", "image_gb": 6.2, "keels": []string{"g8"}, "harbour": nil,
		"one_zone": true, "spread": false, "driftwood": true, "voyage_s": 240.0, "mooring_s": 30.0, "tieup_s": 4.0, "landfall_s": 900.0,
	}
}

// submissionWith returns a submission with one field replaced.
func submissionWith(name string, value any) map[string]any {
	fields := submission()
	fields[name] = value
	return fields
}

func parse(t *testing.T, message any) (Spec, error) {
	t.Helper()
	raw, err := codec.Marshal(message)
	if err != nil {
		t.Fatal(err)
	}
	return ParseSpec(raw)
}

// TestParseSpec checks every field of a valid submission.
func TestParseSpec(t *testing.T) {
	fields := submission()
	fields["cpus"], fields["strokes"] = 8, 16.0 // an integer for an amount, and a floating-point number for a count
	got, err := parse(t, fields)
	want := Spec{
		ID: "job-000412", Class: "train", Team: "vision", Priority: High, Tasks: 16, CPUs: 8, GPUs: 1, MemoryGB: 64,
		Image: "img-07", ImageGB: 6.2, MachineTypes: []string{"g8"}, SingleZone: true, AllowsSpot: true, RunTimeEstimate: 4 * time.Minute,
		CheckpointInterval: 30 * time.Second, CheckpointDuration: 4 * time.Second, Deadline: 15 * time.Minute,
	}
	if diff := cmp.Diff(want, got); err != nil || diff != "" {
		t.Errorf("parse: error %v, spec (-want +got):\n%s", err, diff)
	}
}

// TestParseSpecDropsRepeatedDependencies checks that repeated dependencies are dropped.
func TestParseSpecDropsRepeatedDependencies(t *testing.T) {
	spec, err := parse(t, submissionWith("tows", []string{"job-2", "job-1", "job-2"}))
	if err != nil || !slices.Equal(spec.Dependencies, []string{"job-2", "job-1"}) {
		t.Fatalf("dependencies: got %v, error %v, want [job-2 job-1]", spec.Dependencies, err)
	}
}

// TestParseSpecRejectsInvalidFields checks that each invalid value of a field gets a validation error with status 400.
func TestParseSpecRejectsInvalidFields(t *testing.T) {
	invalidValues := map[string][]any{
		"id": {nil, "", "job-", "job-12x", "Job-1", 7}, "berth": {nil, 3, ""}, "crew": {nil}, "rig": {"raft", nil},
		"heading": {"urgent", nil}, "strokes": {0, -1, 100_001, 1.5, "4", nil}, "cpus": {-1, math.NaN(), "8", nil}, "cards": {-1, nil},
		"mem_gb": {-0.5, nil}, "hull": {nil, 1}, "image_gb": {-1, nil}, "keels": {[]string{}, "g8", []any{1}}, "harbour": {5},
		"one_zone": {nil, 1}, "spread": {nil}, "driftwood": {"yes"}, "voyage_s": {-1, 0, math.NaN(), nil}, "mooring_s": {-1, nil},
		"tieup_s": {-2, nil}, "landfall_s": {-5, "x"}, "tows": {"job-1", []string{"1"}, []any{3}, 7, map[string]any{}, make([]string, 65)},
	}
	for name, values := range invalidValues {
		for _, value := range values {
			t.Run(fmt.Sprintf("%s=%v", name, value), func(t *testing.T) {
				var invalid *ValidationError
				if _, err := parse(t, submissionWith(name, value)); !errors.As(err, &invalid) || invalid.Status != http.StatusBadRequest {
					t.Errorf("error: got %v, want a ValidationError with status 400", err)
				}
			})
		}
	}
}

// TestParseSpecRejectsMissingFields checks that a submission without a required field is rejected.
func TestParseSpecRejectsMissingFields(t *testing.T) {
	optional := []string{"keels", "harbour", "landfall_s"}
	for name := range submission() {
		if slices.Contains(optional, name) {
			continue
		}
		fields := submission()
		delete(fields, name)
		if _, err := parse(t, fields); err == nil {
			t.Errorf("parse without %s: no error, want one", name)
		}
	}
}

// TestParseSpecRejectsImpossibleValues checks that every field rejects values of wrong types and numbers that are not finite. A number or a
// text of any size is rejected only where it has the wrong type.
func TestParseSpecRejectsImpossibleValues(t *testing.T) {
	texts := []string{"berth", "crew", "hull", "harbour"}
	impossible := []any{map[string]any{}, []any{}, math.Inf(1), math.Inf(-1)}
	for name := range submission() {
		values := impossible
		if !slices.Contains(amountFields, name) {
			values = append(slices.Clone(values), 1e300)
		}
		if !slices.Contains(texts, name) {
			values = append(slices.Clone(values), strings.Repeat("x", 201))
		}
		for _, value := range values {
			if _, err := parse(t, submissionWith(name, value)); err == nil {
				t.Errorf("parse %s = %v: no error, want one", name, value)
			}
		}
	}
}

// TestParseSpecRejectsOtherMessages checks that messages other than maps are rejected.
func TestParseSpecRejectsOtherMessages(t *testing.T) {
	for _, message := range []any{nil, 3, "x", []int{1}} {
		if _, err := parse(t, message); err == nil {
			t.Errorf("parse %v: no error, want one", message)
		}
	}
}
