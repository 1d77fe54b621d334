package jobs

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"gullrudder/internal/units"
)

// Record is a job as the state service keeps it. Of a finished job only the state and the number of tasks are kept. The tags
// are the stored form, which older versions read too: they never change. docs/design/upgrade.md has the rules.
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
	TimeAccount               string   `msgpack:"ac,omitempty" json:"ac,omitempty"` // an encoded accounting.Breakdown
	CrashLooping              bool     `msgpack:"mk,omitempty" json:"mk,omitempty"`
	Dependencies              []string `msgpack:"nd,omitempty" json:"nd,omitempty"`
	ReadyMs                   int64    `msgpack:"rd,omitempty" json:"rd,omitempty"` // ms since 1970; see DependencyStatus.ReadyAt
	DoneBits                  string   `msgpack:"b,omitempty" json:"b,omitempty"`   // an encoded bitset; empty for jobs with chunks
}

// Stored forms of a job's state.
const (
	recordAccepted  = "a"
	recordDone      = "d"
	recordCancelled = "c"
)

const (
	// MaxTimeAccountBytes is the most JSON bytes that a record's time account takes together with its field name.
	MaxTimeAccountBytes = 90
	// maxDoneBitsOverhead is the most JSON bytes of the name, the quotes and the padding of a record's DoneBits.
	maxDoneBitsOverhead = 10
	// unencodableRecordBytes is larger than any page of the state service, so that such a record is refused.
	unencodableRecordBytes = 1 << 20
)

// NewFinalRecord returns the record of a finished job.
func NewFinalRecord(state State, tasks int) Record {
	if state == Done {
		return Record{State: recordDone, Tasks: tasks}
	}
	return Record{State: recordCancelled, Tasks: tasks}
}

// Record returns the job's present record, without its time account.
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

// MaxRecordBytes returns the most JSON bytes that the job's record can need while the job is unfinished. Space of that size is
// reserved in its page when the job is accepted, so that its progress can always be written.
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

// base64Bytes returns how many characters encode so many bytes, without padding or rounding up.
func base64Bytes(bytes int) int { return bytes * 4 / 3 }

// FromRecord rebuilds a job from its record. The results of jobs with chunks are added by RestoreChunk.
func FromRecord(jobID string, record Record) (*Job, error) {
	if record.Tasks < 1 || record.Tasks > MaxTasks {
		return nil, fmt.Errorf("job %s: %d tasks in its record", jobID, record.Tasks)
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
		return nil, fmt.Errorf("job %s: state %q in its record", jobID, record.State)
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

// restoreBits adds stored results to part, which is all of doneBits or one chunk of it.
func (j *Job) restoreBits(part bitset, encoded string) error {
	if encoded == "" {
		return nil
	}
	if err := part.decode(encoded); err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	copy(j.durableBits, j.doneBits)
	j.DoneTasks = j.doneBits.count(j.Tasks)
	return nil
}
