package jobs

import (
	"strings"
	"time"
)

// Priority orders jobs by urgency: the higher, the more urgent.
type Priority int

// Priorities of a submission.
const (
	Low Priority = iota
	Normal
	High
	Critical
)

const (
	// MaxTasks is the most tasks that a job may have.
	MaxTasks = 100_000
	// maxDependencies is how many other jobs a submission may name.
	maxDependencies = 64
	// maxIDDigits is how many digits the number in a job ID may have.
	maxIDDigits = 32

	idPrefix = "job-"
)

// Spec is a job as its user submitted it. It never changes after the submission. Amounts are per task.
type Spec struct {
	ID    string
	Class string
	Team  string

	IsService bool // tasks run until the job is cancelled
	IsGang    bool // all tasks run at the same time or none does
	Priority  Priority
	Tasks     int // at least 1, at most MaxTasks

	CPUs     float64
	GPUs     float64
	MemoryGB float64
	Image    string
	ImageGB  float64

	MachineTypes      []string // allowed types; empty: any
	Zone              string   // the one allowed zone; empty: any
	SingleZone        bool     // all tasks run in one zone
	SpreadAcrossZones bool     // at most half of the tasks, rounded up, run in one zone
	AllowsSpot        bool

	RunTimeEstimate    time.Duration // of one task; 0 only for a service
	CheckpointInterval time.Duration // progress between checkpoints; 0: the tasks save none
	CheckpointDuration time.Duration // how long a task takes to save its state when it is stopped
	Deadline           time.Duration // counted from the submission; 0: none
	Dependencies       []string      // IDs of the jobs that have to be done before any task of this one starts
}

// ValidID reports whether an ID has the form of all job IDs: "job-" and 1 to 32 digits.
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
