package jobs

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"
)

// Record is a job as the ledger keeps it. A finished job keeps its state and its
// number of tasks only.
type Record struct {
	State                     string   `msgpack:"s" json:"s"`
	Tasks                     int      `msgpack:"n" json:"n"`
	Guaranteed                bool     `msgpack:"g,omitempty" json:"g,omitempty"`
	SubmittedMs               int64    `msgpack:"t,omitempty" json:"t,omitempty"`
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
	FirstStartBoundSeconds    int64    `msgpack:"bf,omitempty" json:"bf,omitempty"` // seconds
	LastStartBoundSeconds     int64    `msgpack:"bl,omitempty" json:"bl,omitempty"` // seconds
	TimeAccount               string   `msgpack:"ac,omitempty" json:"ac,omitempty"` // its account of time
	CrashLooping              bool     `msgpack:"mk,omitempty" json:"mk,omitempty"` // it failed wherever it was tried
	Needs                     []string `msgpack:"nd,omitempty" json:"nd,omitempty"`
	Ready                     int64    `msgpack:"rd,omitempty" json:"rd,omitempty"` // ms since 1970, when the last of its needs was done
	DoneBits                  string   `msgpack:"b,omitempty" json:"b,omitempty"`
}

// Letters of a record's state.
const (
	recordAccepted  = "a"
	recordDone      = "d"
	recordCancelled = "c"
)

// NewFinalRecord is what stays of a finished job.
func NewFinalRecord(s State, tasks int) Record {
	if s == Done {
		return Record{State: recordDone, Tasks: tasks}
	}
	return Record{State: recordCancelled, Tasks: tasks}
}

// Record is the job's present record.
func (j *Job) Record() Record {
	r := Record{
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
		FirstStartBoundSeconds: int64(
			j.FirstStartBound / time.Second,
		),
		LastStartBoundSeconds: int64(j.LastStartBound / time.Second),
		CrashLooping:          j.CrashLooping,
		Needs:                 j.Dependencies,
	}
	if !j.ReadyAt.IsZero() {
		r.Ready = j.ReadyAt.UnixMilli()
	}
	if j.Tasks <= tasksPerChunk {
		r.DoneBits = encodeBits(j.doneBits)
	}
	return r
}

// MaxTimeAccountBytes is the most JSON bytes of an account of time with its name.
const MaxTimeAccountBytes = 90

// MaxRecordBytes is the most JSON bytes that the job's record may need while it lives.
func (j *Job) MaxRecordBytes() int {
	if j.maxRecordBytes == 0 {
		r := j.Record()
		r.DoneBits, r.Guaranteed, r.CrashLooping = "", true, true
		if len(r.Needs) > 0 {
			r.Ready = math.MaxInt64
		}
		raw, err := json.Marshal(r)
		if err != nil {
			return 1 << 20
		}
		j.maxRecordBytes = len(raw) + MaxTimeAccountBytes
		if j.Tasks <= tasksPerChunk {
			j.maxRecordBytes += (j.Tasks/8+1)*4/3 + 10
		}
	}
	return j.maxRecordBytes
}

// Chunk is the ledger entry for the results of some tasks of a very large array.
type Chunk struct {
	DoneBits string `msgpack:"b" json:"b"`
}

// MaxChunkBytes is the most JSON bytes of a chunk.
const MaxChunkBytes = tasksPerChunk/8*4/3 + 16

// TakeUnsaved takes the tasks whose completion is not on its way into the ledger yet, and
// the chunks that hold them (none if the record does).
func (j *Job) TakeUnsaved() (tasks []int, chunks map[string]Chunk) {
	tasks, j.unsavedTasks = j.unsavedTasks, nil
	if j.Tasks <= tasksPerChunk || len(tasks) == 0 {
		return tasks, nil
	}
	chunks = map[string]Chunk{}
	for _, t := range tasks {
		c := t / tasksPerChunk
		words := j.doneBits[c*tasksPerChunk/64 : min((c+1)*tasksPerChunk/64, len(j.doneBits))]
		chunks[j.ChunkName(c)] = Chunk{DoneBits: encodeBits(words)}
	}
	return tasks, chunks
}

// HasUnsaved reports whether Unsaved would give anything.
func (j *Job) HasUnsaved() bool { return len(j.unsavedTasks) > 0 }

// ChunkName names the ledger entry of a chunk.
func (j *Job) ChunkName(c int) string { return j.ID + "#" + strconv.Itoa(c) }

// ChunkCount is the number of chunks, 0 if the record holds the results.
func (j *Job) ChunkCount() int {
	if j.Tasks <= tasksPerChunk {
		return 0
	}
	return (j.Tasks + tasksPerChunk - 1) / tasksPerChunk
}

// MarkDurable records that the completion of these tasks is in the ledger.
func (j *Job) MarkDurable(tasks []int) {
	for _, t := range tasks {
		setBit(j.durableBits, t)
	}
}

// FromRecord rebuilds a job.
func FromRecord(id string, r Record) (*Job, error) {
	s := Spec{
		ID:                 id,
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
		RunTimeEstimate:    fromSeconds(r.EstimateSeconds),
		CheckpointInterval: fromSeconds(r.CheckpointSeconds),
		CheckpointDuration: fromSeconds(r.CheckpointDurationSeconds),
		Deadline:           fromSeconds(r.DeadlineSeconds),
		Dependencies:       r.Needs,
	}
	if r.Tasks < 1 || r.Tasks > MaxTasks {
		return nil, fmt.Errorf("job %s: %d tasks in the ledger", id, r.Tasks)
	}
	j := New(s, time.UnixMilli(r.SubmittedMs))
	j.Guaranteed, j.CrashLooping = r.Guaranteed, r.CrashLooping
	if r.Ready > 0 {
		j.ReadyAt = time.UnixMilli(r.Ready)
	}
	j.FirstStartBound, j.LastStartBound = time.Duration(
		r.FirstStartBoundSeconds,
	)*time.Second, time.Duration(
		r.LastStartBoundSeconds,
	)*time.Second
	switch r.State {
	case recordAccepted:
		j.State = Accepted
	case recordDone:
		j.State, j.DoneTasks = Done, r.Tasks
	case recordCancelled:
		j.State = Cancelled
	default:
		return nil, fmt.Errorf("job %s: state %q in the ledger", id, r.State)
	}
	return j, j.restoreBits(j.doneBits, r.DoneBits)
}

func (j *Job) restoreBits(part []uint64, bits string) error {
	if bits == "" {
		return nil
	}
	if err := decodeBits(bits, part); err != nil {
		return fmt.Errorf("job %s: %w", j.ID, err)
	}
	copy(j.durableBits, j.doneBits)
	j.DoneTasks = 0
	for t := 0; t < j.Tasks; t++ {
		if hasBit(j.doneBits, t) {
			j.DoneTasks++
		}
	}
	return nil
}

// RestoreChunk adds the results of a chunk.
func (j *Job) RestoreChunk(c int, v Chunk) error {
	if c < 0 || c >= j.ChunkCount() {
		return fmt.Errorf("job %s: chunk %d", j.ID, c)
	}
	return j.restoreBits(j.doneBits[c*tasksPerChunk/64:min((c+1)*tasksPerChunk/64, len(j.doneBits))], v.DoneBits)
}

// ParseChunkName splits the name of a chunk entry.
func ParseChunkName(name string) (id string, chunk int, ok bool) {
	id, num, found := strings.Cut(name, "#")
	if !found {
		return "", 0, false
	}
	n, err := strconv.Atoi(num)
	return id, n, err == nil
}

func fromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
