package api

import (
	"time"

	"gullrudder/internal/wire/server"
)

// ServiceShare is how a class or a team was served of late.
type ServiceShare struct {
	IsTeam          bool    `msgpack:"team" json:"team"` // a team; otherwise a class
	Name            string  `msgpack:"name" json:"name"`
	DoneJobs        float64 `msgpack:"done" json:"done"`       // jobs; what is longer ago counts less
	OverdueJobs     int     `msgpack:"late" json:"late"`       // jobs that can keep none of their aims any more
	OverdueReserved int     `msgpack:"owed" json:"owed"`       // of these, such that have room of their own
	Share           float64 `msgpack:"share" json:"share"`     // done, of done and late
	IsLargestJobs   bool    `msgpack:"largest" json:"largest"` // the largest jobs of the class
}

// ServiceShares is what `gullrudder served` shows, the least served first.
type ServiceShares struct {
	Groups   []ServiceShare `msgpack:"groups" json:"groups"`
	MinShare float64        `msgpack:"least" json:"least"` // below it, a class or team goes ahead of others
}

// serveServiceShares tells how each class and team was served.
func (d *Handler) serveServiceShares(now time.Time, r *server.Request) {
	d.placer.Order(now) // what is told is as of the last order
	a := ServiceShares{Groups: []ServiceShare{}, MinShare: d.options.MinServedShare}
	for _, s := range d.fairShare.Status(now) {
		a.Groups = append(a.Groups, ServiceShare{s.IsTeam, s.Name, s.Done, s.Unserved, s.Allocated, s.ServedShare, s.IsLargest})
	}
	d.responder.Respond(r, 200, a, 0)
}
