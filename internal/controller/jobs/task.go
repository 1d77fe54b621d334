package jobs

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task.
type TaskID struct {
	JobID string
	Index int // from 0
}

// String returns the task's name on the wire: the job ID, a slash and the index.
func (id TaskID) String() string { return id.JobID + "/" + strconv.Itoa(id.Index) }

// ParseTaskID reads what TaskID.String writes.
func ParseTaskID(name string) (TaskID, error) {
	jobID, number, found := strings.Cut(name, "/")
	index, err := strconv.Atoi(number)
	if !found || err != nil || index < 0 || !ValidID(jobID) {
		return TaskID{}, fmt.Errorf("%q is no task", name)
	}
	return TaskID{jobID, index}, nil
}
