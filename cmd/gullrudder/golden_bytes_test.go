package main

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	count := 3
	answer := job{ID: "job-000412", State: "running", Label: "guaranteed", Done: &count, Running: &count}
	goldenbytes.Check(t, goldenbytes.MessagePack("job", answer), goldenbytes.JSON("job", answer))
}
