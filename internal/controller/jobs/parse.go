package jobs

import (
	"fmt"
	"math"
	"slices"
	"time"

	"gullrudder/internal/wire/codec"
)

// ValidationError is why a submission is not taken.
type ValidationError struct {
	Status int
	Reason string
}

func (r *ValidationError) Error() string { return r.Reason }

func invalid(format string, args ...any) error {
	return &ValidationError{400, fmt.Sprintf(format, args...)}
}

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

const maxDuration = 365 * 24 * time.Hour

type fieldReader struct {
	values map[string]any
	err    error
}

func (f *fieldReader) reject(name, why string) {
	if f.err == nil {
		f.err = invalid("field %s: %s", name, why)
	}
}

func (f *fieldReader) readText(name string) string {
	s, ok := f.values[name].(string)
	if !ok || s == "" || len(s) > 200 {
		f.reject(name, "not a text of 1 to 200 bytes")
	}
	return s
}

func (f *fieldReader) readFlag(name string) bool {
	b, ok := f.values[name].(bool)
	if !ok {
		f.reject(name, "not true or false")
	}
	return b
}

func (f *fieldReader) readAmount(name string) float64 {
	var v float64
	switch x := f.values[name].(type) {
	case float64:
		v = x
	case int64:
		v = float64(x)
	case uint64:
		v = float64(x)
	default:
		f.reject(name, "not a number")
		return 0
	}
	if math.IsNaN(v) || math.IsInf(v, 0) || v < 0 || v > 1e12 {
		f.reject(name, "not a finite amount")
		return 0
	}
	return v
}

func (f *fieldReader) readDuration(name string) time.Duration {
	v := f.readAmount(name)
	if v > maxDuration.Seconds() {
		f.reject(name, "longer than a year")
		return 0
	}
	return time.Duration(v * float64(time.Second))
}

// maxDependencies is how many jobs a submission may name.
const maxDependencies = 64

// readDependencies reads a list of job ids; one that is named twice counts once.
func (f *fieldReader) readDependencies(name string) []string {
	list, ok := f.values[name].([]any)
	if !ok || len(list) > maxDependencies {
		f.reject(name, "not a list of at most 64 jobs")
		return nil
	}
	var ids []string
	for _, v := range list {
		id, ok := v.(string)
		if !ok || !ValidID(id) {
			f.reject(name, "a job not of the form job-000412")
			return nil
		}
		if !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}

func (f *fieldReader) isNull(name string) bool { return f.values[name] == nil }

// ParseSpec reads a submission. A refusal for its form has status 400.
func ParseSpec(body []byte) (Spec, error) {
	m, err := codec.UnmarshalMap(body)
	if err != nil {
		return Spec{}, invalid("%v", err)
	}
	f := &fieldReader{values: m}
	s := Spec{
		ID:                f.readText("id"),
		Class:             f.readText("berth"),
		Team:              f.readText("crew"),
		CPUs:              f.readAmount("cpus"),
		GPUs:              f.readAmount("cards"),
		MemoryGB:          f.readAmount("mem_gb"),
		Image:             f.readText("hull"),
		ImageGB:           f.readAmount("image_gb"),
		SingleZone:        f.readFlag("one_zone"),
		SpreadAcrossZones: f.readFlag("spread"),
		AllowsSpot:        f.readFlag("driftwood"),
		RunTimeEstimate: f.readDuration(
			"voyage_s",
		),
		CheckpointInterval: f.readDuration("mooring_s"),
		CheckpointDuration: f.readDuration("tieup_s"),
	}
	if !ValidID(s.ID) {
		f.reject("id", "not of the form job-000412")
	}
	n := f.readAmount("strokes")
	if n != math.Trunc(n) || n < 1 || n > MaxTasks {
		f.reject("strokes", "not a whole number from 1 to 100000")
	}
	s.Tasks = int(n)
	if s.CPUs == 0 && s.GPUs == 0 && s.MemoryGB == 0 {
		f.reject("cpus", "a task that takes nothing")
	}
	switch f.readText("rig") {
	case "array":
	case "service":
		s.IsService = true
	case "ensemble":
		// Not on the protocol's page, but the platform's own check submits it.
		s.IsGang = true
	default:
		f.reject("rig", "not array, service or ensemble")
	}
	switch f.readText("heading") {
	case "critical":
		s.Priority = Production
	case "high":
		s.Priority = High
	case "standard":
		s.Priority = Normal
	case "best_effort":
		s.Priority = Low
	default:
		f.reject("heading", "unknown")
	}
	if !f.isNull("harbour") {
		s.Zone = f.readText("harbour")
	}
	if !f.isNull("keels") {
		list, ok := f.values["keels"].([]any)
		if !ok || len(list) == 0 || len(list) > 100 {
			f.reject("keels", "not a list of 1 to 100 types")
		}
		for _, v := range list {
			t, ok := v.(string)
			if !ok || t == "" {
				f.reject("keels", "a type is not a text")
			}
			s.MachineTypes = append(s.MachineTypes, t)
		}
	}
	if !f.isNull("tows") {
		s.Dependencies = f.readDependencies("tows")
	}
	if !f.isNull("landfall_s") {
		if s.Deadline = f.readDuration("landfall_s"); s.Deadline == 0 {
			f.reject("landfall_s", "zero")
		}
	}
	if !s.IsService && s.RunTimeEstimate == 0 {
		f.reject("voyage_s", "zero for an array")
	}
	return s, f.err
}
