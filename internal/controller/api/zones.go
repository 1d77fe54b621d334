package api

import (
	"time"

	"gullrudder/internal/wire/server"
)

// ZoneStatus is what is known of a zone. Times are in seconds.
type ZoneStatus struct {
	Name                 string  `msgpack:"name" json:"name"`
	State                string  `msgpack:"state" json:"state"`
	StateSeconds         float64 `msgpack:"for_s" json:"for_s"`
	LastHeartbeatSeconds float64 `msgpack:"heard_s_ago" json:"heard_s_ago"`
	Machines             int     `msgpack:"machines" json:"machines"` // whose reports should come
	Overdue              int     `msgpack:"overdue" json:"overdue"`   // of these, whose reports are missing
	Outages              int     `msgpack:"cuts" json:"cuts"`         // of the last ten minutes
}

// Zones is what `gullrudder zones` shows.
type Zones struct {
	Zones []ZoneStatus `msgpack:"zones" json:"zones"`
}

// serveZones tells what is known of each zone.
func (d *Handler) serveZones(now time.Time, r *server.Request) {
	a := Zones{Zones: []ZoneStatus{}}
	for _, v := range d.zoneTracker.Views() {
		a.Zones = append(a.Zones, ZoneStatus{
			v.Name, v.State.String(), now.Sub(v.Since).Round(time.Second).Seconds(),
			now.Sub(v.LastHeartbeat).Round(100 * time.Millisecond).Seconds(), v.Machines, v.Overdue, v.Outages,
		})
	}
	d.responder.Respond(r, 200, a, 0)
}
