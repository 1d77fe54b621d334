package requests

import (
	"testing"

	"gullrudder/internal/goldenbytes"
)

func TestGoldenBytes(t *testing.T) {
	count := 3
	waiting := Waiting{ID: "job-000412", Team: "vision", Class: "train", Standing: "high", Waiting: 4, Running: 5, Done: 6, Age: 7.5, StartBy: 8.5,
		EndBy: 9.5, Late: true}
	queue := Queue{Jobs: []Waiting{waiting}, Total: 70, Late: 2}
	shares := []Share{{Cause: "queue", Ms: 70_000}}
	explanation := Explanation{Waiting: waiting, State: "running", Position: 2, Before: []Waiting{waiting}, Ahead: 12.5,
		Because: []string{"no room"}, Changes: []string{"more room"}, Account: shares}
	accounts := Accounts{Accounts: []Account{{Team: "vision", Class: "train", Jobs: 3, Ms: 70_000, Shares: shares}}, Open: 9}
	served := ServedList{Groups: []ServedGroup{{Team: true, Name: "vision", Done: 12.5, Late: 2, Owed: 1, Share: 0.75, Large: true}}, Least: 0.25}
	zones := Zones{Zones: []ZoneView{{Name: "a", State: "cut", For: 12.5, Heard: 3.5, Machines: 40, Overdue: 30, Cuts: 2}}}
	goldenbytes.Check(t,
		goldenbytes.MessagePack("job", jobAnswer{ID: "job-000412", State: "running", Label: "guaranteed", Done: &count, Running: &count, Because: "no room"}),
		goldenbytes.MessagePack("queue", queue), goldenbytes.JSON("queue", queue),
		goldenbytes.MessagePack("explanation", explanation), goldenbytes.JSON("explanation", explanation),
		goldenbytes.MessagePack("accounts", accounts), goldenbytes.JSON("accounts", accounts),
		goldenbytes.MessagePack("served", served), goldenbytes.JSON("served", served),
		goldenbytes.MessagePack("zones", zones), goldenbytes.JSON("zones", zones),
	)
}
