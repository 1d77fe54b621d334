package jobs

import "testing"

// TestFinalStateNames checks the names of the final states that users and metrics read.
func TestFinalStateNames(t *testing.T) {
	for state, want := range map[State]string{Done: "done", Cancelled: "cancelled"} {
		job := &Job{State: state}
		if state.String() != want || job.StateName() != want {
			t.Errorf("name of state %d: got %q, of a job %q, want %q", state, state.String(), job.StateName(), want)
		}
	}
}
