package jobs

import (
	"math"

	"gullrudder/internal/wire/codec"
)

// ParseSpec parses a submission, which is a MessagePack map (wire protocol, "POST /work"). On failure, the error is a
// *ValidationError with status 400 that names the first invalid field. The Spec then holds the fields that could be read,
// possibly including a valid ID.
func ParseSpec(body []byte) (Spec, error) {
	values, err := codec.UnmarshalMap(body)
	if err != nil {
		return Spec{}, newBodyError(err)
	}
	fields := &fieldReader{values: values}
	spec := Spec{
		ID: fields.readText("id"), Class: fields.readText("berth"), Team: fields.readText("crew"),
		CPUs: fields.readAmount("cpus"), GPUs: fields.readAmount("cards"), MemoryGB: fields.readAmount("mem_gb"),
		Image: fields.readText("hull"), ImageGB: fields.readAmount("image_gb"),
		SingleZone: fields.readBool("one_zone"), SpreadAcrossZones: fields.readBool("spread"), AllowsSpot: fields.readBool("driftwood"),
		RunTimeEstimate:    fields.readDuration("voyage_s"),
		CheckpointInterval: fields.readDuration("mooring_s"), CheckpointDuration: fields.readDurationRoundedUp("tieup_s"),
	}
	if !ValidID(spec.ID) {
		fields.reject("id", "not of the form job-000412")
	}
	spec.Tasks = fields.readTaskCount("strokes")
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemoryGB == 0 {
		spec.MemoryGB = minAmount // a record without resources is one of a finished job
	}
	spec.IsService, spec.IsGang = fields.readJobKind("rig")
	spec.Priority = fields.readPriority("heading")
	fields.readOptionalFields(&spec)
	if !spec.IsService && spec.RunTimeEstimate == 0 {
		fields.reject("voyage_s", "zero for an array")
	}
	return spec, fields.err
}

// readOptionalFields reads the fields that may be missing or null.
func (f *fieldReader) readOptionalFields(spec *Spec) {
	if !f.isNull("harbour") {
		spec.Zone = f.readText("harbour")
	}
	if !f.isNull("keels") {
		spec.MachineTypes = f.readMachineTypes("keels")
	}
	if !f.isNull(FieldDependencies) {
		spec.Dependencies = f.readDependencies(FieldDependencies)
	}
	if !f.isNull("landfall_s") {
		spec.Deadline = max(f.readDuration("landfall_s"), minDuration) // 0 stands for no deadline
	}
}

func (f *fieldReader) readTaskCount(name string) int {
	count := f.readNumber(name)
	if count != math.Trunc(count) || count < 1 || count > MaxTasks {
		f.reject(name, "not a whole number from 1 to 100000")
	}
	return int(count)
}

func (f *fieldReader) readJobKind(name string) (isService, isGang bool) {
	switch f.readText(name) {
	case "array":
		return false, false
	case "service":
		return true, false
	case "ensemble":
		// This kind is not in the wire protocol, but the platform's own check submits such jobs.
		return false, true
	}
	f.reject(name, "not array, service or ensemble")
	return false, false
}

func (f *fieldReader) readPriority(name string) Priority {
	switch f.readText(name) {
	case "critical":
		return Critical
	case "high":
		return High
	case "standard":
		return Normal
	case "best_effort":
		return Low
	}
	f.reject(name, "unknown")
	return Low
}

// readMachineTypes reads a list of machine types without duplicates.
func (f *fieldReader) readMachineTypes(name string) []string {
	list, ok := f.values[name].([]any)
	if !ok || len(list) == 0 {
		f.reject(name, "not a list of types, or empty")
		return nil
	}
	return f.readTexts(name, list, func(string) bool { return true }, "a type is not a text")
}

// readDependencies reads a list of job IDs without duplicates.
func (f *fieldReader) readDependencies(name string) []string {
	list, ok := f.values[name].([]any)
	if !ok {
		f.reject(name, "not a list of jobs")
		return nil
	}
	ids := f.readTexts(name, list, ValidID, "a job not of the form job-000412")
	if len(ids) > maxDependencies {
		f.reject(name, "more than 64 jobs")
	}
	return ids
}

// readTexts reads a list of texts and drops duplicates. It rejects the field for the given reason if an item is no valid text.
func (f *fieldReader) readTexts(name string, list []any, isValid func(string) bool, reason string) []string {
	var texts []string
	seen := make(map[string]bool, len(list))
	for _, item := range list {
		text, ok := item.(string)
		if !ok || !isValid(text) {
			f.reject(name, reason)
			return nil
		}
		if !seen[text] {
			seen[text] = true
			texts = append(texts, text)
		}
	}
	return texts
}
