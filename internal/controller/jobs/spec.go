package jobs

import (
	"strings"
	"time"
)

// Priority is the urgency of a job. Higher values are more urgent.
type Priority int

// Priorities of a submission.
const (
	Low Priority = iota
	Normal
	High
	Critical
)

const (
	// MaxTasks is the maximum number of tasks of a job.
	MaxTasks = 100_000
	// maxDependencies is the maximum number of dependencies of a job.
	maxDependencies = 64
	// maxIDDigits is the maximum number of digits in a job ID.
	maxIDDigits = 32

	idPrefix = "job-"
)

// Spec is a job as its user submitted it. It never changes after the submission. Resource amounts are per task.
type Spec struct {
	ID    string
	Class string
	Team  string

	IsService bool // tasks run until the job is cancelled
	IsGang    bool // either all tasks run at the same time or none
	Priority  Priority
	Tasks     int // at least 1, at most MaxTasks

	CPUs     float64
	GPUs     float64
	MemoryGB float64
	Image    string
	ImageGB  float64

	MachineTypes      []string // allowed types; empty: any
	Zone              string   // the only allowed zone; empty: any
	SingleZone        bool     // all tasks run in one zone
	SpreadAcrossZones bool     // at most half of the tasks, rounded up, run in one zone
	AllowsSpot        bool     // tasks may run on spot instances

	RunTimeEstimate    time.Duration // of one task; 0 only for a service
	CheckpointInterval time.Duration // run time between checkpoints; 0: the tasks save no checkpoints
	CheckpointDuration time.Duration // how long a stopped task takes to save a checkpoint
	Deadline           time.Duration // counted from the submission; 0: none
	Dependencies       []string      // IDs of the jobs that have to be done before any task of this job starts
}

// ValidID reports whether id has the form of a job ID: "job-" followed by 1 to 32 decimal digits.
func ValidID(id string) bool {
	digits, ok := strings.CutPrefix(id, idPrefix)
	if !ok || digits == "" || len(digits) > maxIDDigits {
		return false
	}
	for i := 0; i < len(digits); i++ {
		if digits[i] < '0' || digits[i] > '9' {
			return false
		}
	}
	return true
}
