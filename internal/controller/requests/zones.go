package requests

import (
	"time"

	"gullrudder/internal/wire/inbox"
)

// ZoneView is what is known of a zone. Times are in seconds.
type ZoneView struct {
	Name     string  `msgpack:"name" json:"name"`
	State    string  `msgpack:"state" json:"state"`
	For      float64 `msgpack:"for_s" json:"for_s"`
	Heard    float64 `msgpack:"heard_s_ago" json:"heard_s_ago"`
	Machines int     `msgpack:"machines" json:"machines"` // whose reports should come
	Overdue  int     `msgpack:"overdue" json:"overdue"`   // of these, whose reports are missing
	Cuts     int     `msgpack:"cuts" json:"cuts"`         // of the last ten minutes
}

// Zones is what `gullrudder zones` shows.
type Zones struct {
	Zones []ZoneView `msgpack:"zones" json:"zones"`
}

// zones tells what is known of each zone.
func (d *Desk) zones(now time.Time, r *inbox.Request) {
	a := Zones{Zones: []ZoneView{}}
	for _, v := range d.zoneBook.Views() {
		a.Zones = append(a.Zones, ZoneView{v.Name, v.State.String(), now.Sub(v.Since).Round(time.Second).Seconds(),
			now.Sub(v.Heard).Round(100 * time.Millisecond).Seconds(), v.Machines, v.Overdue, v.Cuts})
	}
	d.out.Reply(r, 200, a, 0)
}
