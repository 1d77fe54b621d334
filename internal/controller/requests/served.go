package requests

import (
	"time"

	"gullrudder/internal/wire/inbox"
)

// ServedGroup is how a class or a team was served of late.
type ServedGroup struct {
	Team  bool    `msgpack:"team" json:"team"` // a team; otherwise a class
	Name  string  `msgpack:"name" json:"name"`
	Done  float64 `msgpack:"done" json:"done"`       // jobs; what is longer ago counts less
	Late  int     `msgpack:"late" json:"late"`       // jobs that can keep none of their aims any more
	Owed  int     `msgpack:"owed" json:"owed"`       // of these, such that have room of their own
	Share float64 `msgpack:"share" json:"share"`     // done, of done and late
	Large bool    `msgpack:"largest" json:"largest"` // the largest jobs of the class
}

// ServedList is what `gullrudder served` shows, the least served first.
type ServedList struct {
	Groups []ServedGroup `msgpack:"groups" json:"groups"`
	Least  float64       `msgpack:"least" json:"least"` // below it, a class or team goes ahead of others
}

// served tells how each class and team was served.
func (d *Desk) served(now time.Time, r *inbox.Request) {
	d.placer.Order(now) // what is told is as of the last order
	a := ServedList{Groups: []ServedGroup{}, Least: d.opt.FloorLeast}
	for _, s := range d.planner.FairShare().Status(now) {
		a.Groups = append(a.Groups, ServedGroup{s.IsTeam, s.Name, s.Done, s.Unserved, s.Allocated, s.ServedShare, s.IsLargest})
	}
	d.out.Reply(r, 200, a, 0)
}
