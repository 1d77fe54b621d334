package node

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Of two jobs of one rank the one whose image is on the machine goes first, until the other
// has waited for a machine with its image as long as fetching would take.
func TestImageOnTheMachineGoesFirst(t *testing.T) {
	now := time.Unix(10_000, 0)
	n := leading(now)
	n.lead.cloud.Types["small"].CacheGB, n.lead.cloud.Types["small"].FetchRate = 40, 0.25
	m := n.addMachine(now, 1, "small", "a", false)
	far, near := n.addJob(now, 0, 2, 4), n.addJob(now, 2, 20, 4)
	far.Image, far.ImageGB, near.Image, near.ImageGB = "far", 1, "near", 1 // fetched in 4 s
	m.Store.Use("near", 1)
	first := func() string {
		list := n.starts(now, m, 1)
		if len(list) != 1 {
			t.Fatalf("%d starts", len(list))
		}
		n.ended(now, m, n.lead.fleet.Clear(m))
		id, _, _ := strings.Cut(list[0].Task, "/")
		return id
	}
	n.rank(now)
	if n.lead.waiting[0].Job != far || n.lead.waiting[0].Rank != n.lead.waiting[1].Rank {
		t.Fatal("the jobs are not in the order that the test is about")
	}
	if got := first(); got != near.ID {
		t.Errorf("%s starts first", got)
	}
	if now = now.Add(4 * time.Second); first() != far.ID {
		t.Error("a job is passed over for longer than fetching its image takes")
	}
}

// What is remembered of a shape is what a walk over the machines finds for the job itself.
func TestRoomOfAShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(10_000, 0)
		n := leading(now)
		for i := range rapid.IntRange(1, 12).Draw(t, "machines") {
			m := n.addMachine(now, i, []string{"small", "large"}[i%2], []string{"a", "b"}[i%3/2], i%4 == 0)
			if rapid.Bool().Draw(t, "used") {
				n.starts(now, m, rapid.IntRange(0, 9).Draw(t, "starts"))
			}
		}
		free, rooms := n.byRoom(), newRoomFor()
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			j := n.addJob(now, i, rapid.IntRange(1, 40).Draw(t, "tasks"), rapid.SampledFrom([]float64{0, 1, 3}).Draw(t, "cpus"))
			j.Spot, j.Zone = rapid.Bool().Draw(t, "spot"), rapid.SampledFrom([]string{"", "a"}).Draw(t, "zone")
			if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
				free[0].Failed[j.ID] = true
				j.Errors = 1
			}
			want := rapid.IntRange(1, j.Tasks).Draw(t, "want")
			if got, plain := rooms.fit(j, free, want), fitting(j, free, want); got != plain {
				t.Fatalf("%d tasks of %s fit, a walk finds %d of %d", got, j.ID, plain, want)
			}
		}
	})
}
