package jobs

import (
	"math"
	"slices"

	"gullrudder/internal/wire/codec"
)

// maxMachineTypes is the maximum number of machine types that a submission may list.
const maxMachineTypes = 100

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
		ID: fields.readString("id"), Class: fields.readString("berth"), Team: fields.readString("crew"),
		CPUs: fields.readAmount("cpus"), GPUs: fields.readAmount("cards"), MemoryGB: fields.readAmount("mem_gb"),
		Image: fields.readString("hull"), ImageGB: fields.readAmount("image_gb"),
		SingleZone: fields.readBool("one_zone"), SpreadAcrossZones: fields.readBool("spread"), AllowsSpot: fields.readBool("driftwood"),
		RunTimeEstimate:    fields.readDuration("voyage_s"),
		CheckpointInterval: fields.readDuration("mooring_s"), CheckpointDuration: fields.readDuration("tieup_s"),
	}
	if !ValidID(spec.ID) {
		fields.reject("id", "not of the form job-000412")
	}
	spec.Tasks = fields.readTaskCount("strokes")
	if spec.CPUs == 0 && spec.GPUs == 0 && spec.MemoryGB == 0 {
		fields.reject("cpus", "a task that takes nothing")
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
		spec.Zone = f.readString("harbour")
	}
	if !f.isNull("keels") {
		spec.MachineTypes = f.readMachineTypes("keels")
	}
	if !f.isNull(FieldDependencies) {
		spec.Dependencies = f.readDependencies(FieldDependencies)
	}
	if !f.isNull("landfall_s") {
		if spec.Deadline = f.readDuration("landfall_s"); spec.Deadline == 0 {
			f.reject("landfall_s", "zero")
		}
	}
}

func (f *fieldReader) readTaskCount(name string) int {
	count := f.readAmount(name)
	if count != math.Trunc(count) || count < 1 || count > MaxTasks {
		f.reject(name, "not a whole number from 1 to 100000")
	}
	return int(count)
}

func (f *fieldReader) readJobKind(name string) (isService, isGang bool) {
	switch f.readString(name) {
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
	switch f.readString(name) {
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

func (f *fieldReader) readMachineTypes(name string) []string {
	list, ok := f.values[name].([]any)
	if !ok || len(list) == 0 || len(list) > maxMachineTypes {
		f.reject(name, "not a list of 1 to 100 types")
	}
	var types []string
	for _, value := range list {
		machineType, ok := value.(string)
		if !ok || machineType == "" {
			f.reject(name, "a type is not a text")
		}
		types = append(types, machineType)
	}
	return types
}

// readDependencies reads a list of job IDs without duplicates.
func (f *fieldReader) readDependencies(name string) []string {
	list, ok := f.values[name].([]any)
	if !ok || len(list) > maxDependencies {
		f.reject(name, "not a list of at most 64 jobs")
		return nil
	}
	var ids []string
	for _, value := range list {
		id, ok := value.(string)
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
