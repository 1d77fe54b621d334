package main

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	count := 3
	response := jobStatus{ID: "job-000412", State: "running", Admission: "guaranteed", DoneTasks: &count, RunningTasks: &count}
	goldenbytes.Check(t, goldenbytes.MessagePack("job", response), goldenbytes.JSON("job", response))
}
