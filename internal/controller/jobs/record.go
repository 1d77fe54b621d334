package jobs

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gullrudder/internal/units"
)

// Record is a job as the state service stores it. The record of a finished job holds only the state and the number of tasks.
// The tags define the stored form and never change, since older versions read it too. docs/design/upgrade.md has the rules.
type Record struct {
	State                     string   `msgpack:"s" json:"s"`
	Tasks                     int      `msgpack:"n" json:"n"`
	Guaranteed                bool     `msgpack:"g,omitempty" json:"g,omitempty"`
	SubmittedMs               int64    `msgpack:"t,omitempty" json:"t,omitempty"` // ms since 1970
	Class                     string   `msgpack:"cl,omitempty" json:"cl,omitempty"`
	Team                      string   `msgpack:"tm,omitempty" json:"tm,omitempty"`
	IsService                 bool     `msgpack:"sv,omitempty" json:"sv,omitempty"`
	IsGang                    bool     `msgpack:"ga,omitempty" json:"ga,omitempty"`
	Priority                  int      `msgpack:"p,omitempty" json:"p,omitempty"`
	CPUs                      float64  `msgpack:"c,omitempty" json:"c,omitempty"`
	GPUs                      float64  `msgpack:"x,omitempty" json:"x,omitempty"`
	MemoryGB                  float64  `msgpack:"m,omitempty" json:"m,omitempty"`
	Image                     string   `msgpack:"i,omitempty" json:"i,omitempty"`
	ImageGB                   float64  `msgpack:"ig,omitempty" json:"ig,omitempty"`
	MachineTypes              []string `msgpack:"ty,omitempty" json:"ty,omitempty"`
	Zone                      string   `msgpack:"z,omitempty" json:"z,omitempty"`
	SingleZone                bool     `msgpack:"oz,omitempty" json:"oz,omitempty"`
	SpreadAcrossZones         bool     `msgpack:"sp,omitempty" json:"sp,omitempty"`
	AllowsSpot                bool     `msgpack:"d,omitempty" json:"d,omitempty"`
	EstimateSeconds           float64  `msgpack:"e,omitempty" json:"e,omitempty"`
	CheckpointSeconds         float64  `msgpack:"k,omitempty" json:"k,omitempty"`
	CheckpointDurationSeconds float64  `msgpack:"sa,omitempty" json:"sa,omitempty"`
	DeadlineSeconds           float64  `msgpack:"dl,omitempty" json:"dl,omitempty"`
	FirstStartBoundSeconds    int64    `msgpack:"bf,omitempty" json:"bf,omitempty"`
	LastStartBoundSeconds     int64    `msgpack:"bl,omitempty" json:"bl,omitempty"`
	TimeAccount               string   `msgpack:"ac,omitempty" json:"ac,omitempty"` // encoded accounting.Breakdown
	CrashLooping              bool     `msgpack:"mk,omitempty" json:"mk,omitempty"`
	Dependencies              []string `msgpack:"nd,omitempty" json:"nd,omitempty"`
	ReadyMs                   int64    `msgpack:"rd,omitempty" json:"rd,omitempty"` // ms since 1970; see DependencyStatus.ReadyAt
	DoneBits                  string   `msgpack:"b,omitempty" json:"b,omitempty"`   // encoded bitset; empty for jobs with chunks
}

// Stored forms of a job's state.
const (
	recordAccepted  = "a"
	recordDone      = "d"
	recordCancelled = "c"
)

const (
	// MaxTimeAccountBytes is the maximum size of a record's time account as JSON, including its field name.
	MaxTimeAccountBytes = 90
	// maxDoneBitsOverhead is the maximum number of bytes for the field name, quotes and padding of DoneBits in JSON.
	maxDoneBitsOverhead = 10
	// unencodableRecordBytes is the size returned for a record that cannot be encoded. It exceeds the size of any page of the
	// state service, so that the record is refused.
	unencodableRecordBytes = 1 << 20
)

// NewFinalRecord returns the record of a finished job. state is Done or Cancelled.
func NewFinalRecord(state State, tasks int) Record {
	if state == Done {
		return Record{State: recordDone, Tasks: tasks}
	}
	return Record{State: recordCancelled, Tasks: tasks}
}

// Record returns the record of the unfinished job, without its time account.
func (j *Job) Record() Record {
	record := Record{
		State:                     recordAccepted,
		Tasks:                     j.Tasks,
		Guaranteed:                j.Guaranteed,
		SubmittedMs:               j.SubmittedAt.UnixMilli(),
		Class:                     j.Class,
		Team:                      j.Team,
		IsService:                 j.IsService,
		IsGang:                    j.IsGang,
		Priority:                  int(j.Priority),
		CPUs:                      j.CPUs,
		GPUs:                      j.GPUs,
		MemoryGB:                  j.MemoryGB,
		Image:                     j.Image,
		ImageGB:                   j.ImageGB,
		MachineTypes:              j.MachineTypes,
		Zone:                      j.Zone,
		SingleZone:                j.SingleZone,
		SpreadAcrossZones:         j.SpreadAcrossZones,
		AllowsSpot:                j.AllowsSpot,
		EstimateSeconds:           j.RunTimeEstimate.Seconds(),
		CheckpointSeconds:         j.CheckpointInterval.Seconds(),
		CheckpointDurationSeconds: j.CheckpointDuration.Seconds(),
		DeadlineSeconds:           j.Deadline.Seconds(),
		FirstStartBoundSeconds:    int64(j.FirstStartBound / time.Second),
		LastStartBoundSeconds:     int64(j.LastStartBound / time.Second),
		CrashLooping:              j.CrashLooping,
		Dependencies:              j.Dependencies,
	}
	if !j.ReadyAt.IsZero() {
		record.ReadyMs = j.ReadyAt.UnixMilli()
	}
	if !j.hasChunks() {
		record.DoneBits = j.doneBits.encode()
	}
	return record
}

// MaxRecordBytes returns the maximum size of the job's record as JSON, in bytes, while the job is unfinished. This space is
// reserved in a page when the job is accepted, so that the job's progress can always be written. The result is cached.
func (j *Job) MaxRecordBytes() int {
	if j.maxRecordBytes == 0 {
		j.maxRecordBytes = j.calculateMaxRecordBytes()
	}
	return j.maxRecordBytes
}

func (j *Job) calculateMaxRecordBytes() int {
	largest := j.Record()
	largest.DoneBits, largest.Guaranteed, largest.CrashLooping = "", true, true
	if len(largest.Dependencies) > 0 {
		largest.ReadyMs = math.MaxInt64
	}
	raw, err := json.Marshal(largest)
	if err != nil {
		return unencodableRecordBytes
	}
	size := len(raw) + MaxTimeAccountBytes
	if !j.hasChunks() {
		size += base64Bytes(j.Tasks/8+1) + maxDoneBitsOverhead
	}
	return size
}

// base64Bytes returns the length of the base64 encoding of byteCount bytes, rounded down and without padding.
func base64Bytes(byteCount int) int { return byteCount * 4 / 3 }

// FromRecord rebuilds a job from its record. For a job with chunks, the caller adds the results with RestoreChunk.
func FromRecord(jobID string, record Record) (*Job, error) {
	if record.Tasks < 1 || record.Tasks > MaxTasks {
		return nil, fmt.Errorf("job %s: record has %d tasks, expected 1 to %d", jobID, record.Tasks, MaxTasks)
	}
	job := New(record.spec(jobID), time.UnixMilli(record.SubmittedMs))
	job.Guaranteed, job.CrashLooping = record.Guaranteed, record.CrashLooping
	if record.ReadyMs > 0 {
		job.ReadyAt = time.UnixMilli(record.ReadyMs)
	}
	job.FirstStartBound = time.Duration(record.FirstStartBoundSeconds) * time.Second
	job.LastStartBound = time.Duration(record.LastStartBoundSeconds) * time.Second
	switch record.State {
	case recordAccepted:
		job.State = Accepted
	case recordDone:
		job.State, job.DoneTasks = Done, record.Tasks
	case recordCancelled:
		job.State = Cancelled
	default:
		return nil, fmt.Errorf("job %s: record has unknown state %q", jobID, record.State)
	}
	return job, job.restoreBits(job.doneBits, record.DoneBits)
}

func (r *Record) spec(jobID string) Spec {
	return Spec{
		ID:                 jobID,
		Class:              r.Class,
		Team:               r.Team,
		IsService:          r.IsService,
		IsGang:             r.IsGang,
		Priority:           Priority(r.Priority),
		Tasks:              r.Tasks,
		CPUs:               r.CPUs,
		GPUs:               r.GPUs,
		MemoryGB:           r.MemoryGB,
		Image:              r.Image,
		ImageGB:            r.ImageGB,
		MachineTypes:       r.MachineTypes,
		Zone:               r.Zone,
		SingleZone:         r.SingleZone,
		SpreadAcrossZones:  r.SpreadAcrossZones,
		AllowsSpot:         r.AllowsSpot,
		RunTimeEstimate:    units.DurationFromSeconds(r.EstimateSeconds),
		CheckpointInterval: units.DurationFromSeconds(r.CheckpointSeconds),
		CheckpointDuration: units.DurationFromSeconds(r.CheckpointDurationSeconds),
		Deadline:           units.DurationFromSeconds(r.DeadlineSeconds),
		Dependencies:       r.Dependencies,
	}
}

// restoreBits adds stored results to bits, which is all of doneBits or one chunk of it.
func (j *Job) restoreBits(bits bitset, encoded string) error {
	if encoded == "" {
		return nil
	}
	if err := bits.decode(encoded); err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	copy(j.durableBits, j.doneBits)
	j.DoneTasks = j.doneBits.count(j.Tasks)
	return nil
}
