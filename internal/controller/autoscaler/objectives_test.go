package autoscaler

import (
	"testing"
	"time"

	"gullrudder/internal/config"
)

// edgeCaseObjectives are an objective with a time limit, one that more machines cannot help to meet, and one that all jobs must
// meet.
var edgeCaseObjectives = []config.Objective{
	{Kind: "finished", Class: "c", TimeLimit: time.Minute, TargetShare: 0.95},
	{Kind: "guarantee", TimeLimit: time.Minute, TargetShare: 0.9},
	{Kind: "deadline", Class: "c", TargetShare: 1, DeadlineFactor: 1.5},
}

// TestObjectivesFromConfiguration checks that objectives that more machines cannot help to meet are left out. An objective that
// all jobs must meet still allows a small share of misses.
func TestObjectivesFromConfiguration(t *testing.T) {
	list := objectivesOf(edgeCaseObjectives)
	if len(list) != 2 || list[1].allowedMissShare != minAllowedMissShare || list[1].deadlineFactor != 1.5 {
		t.Errorf("objectives: got %+v, want 2, the second with allowed miss share %v and deadline factor 1.5", list, minAllowedMissShare)
	}
}

// TestObjectiveHistoryDecays checks that the counts of ended jobs and misses decay over time.
func TestObjectiveHistoryDecays(t *testing.T) {
	f := newFixture()
	f.setObjectives(config.Objective{Kind: "finished", Class: "c", TimeLimit: time.Minute, TargetShare: 0.95})
	for i := range 10 {
		job := f.addJob(i, 1, 1)
		f.JobEnded(f.Now.Add(time.Duration(i*20)*time.Second), job)
	}
	if r := f.objectives.records[0]; r.missed < 4 || r.missed > 6 || r.jobs < 7 || r.jobs > 10 {
		t.Errorf("record: got %+v, want 4 to 6 missed of 7 to 10 jobs", r)
	}
	f.Now = f.Now.Add(2 * time.Hour)
	f.JobEnded(f.Now, f.addJob(11, 1, 1))
	if r := f.objectives.records[0]; r.missed > 0.01 || r.jobs > 1.01 {
		t.Errorf("record after two hours: got %+v, want at most 0.01 missed of 1.01 jobs", r)
	}
}
