package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task of a job. It is comparable and may serve as a map key.
type TaskID struct {
	JobID string
	Index int // from 0
}

// String returns the name of the task on the wire: the job ID, a slash and the index, such as job-000412/3.
func (id TaskID) String() string { return id.JobID + "/" + strconv.Itoa(id.Index) }

// ParseTaskID parses a name that TaskID.String returned. It fails if the job ID or the index is not valid.
func ParseTaskID(name string) (TaskID, error) {
	jobID, number, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(number)
	if !found || err != nil || index < 0 || !ValidID(jobID) {
		return TaskID{}, fmt.Errorf("task ID %q: expected JOB/INDEX", name)
	}
	return TaskID{jobID, index}, nil
}
