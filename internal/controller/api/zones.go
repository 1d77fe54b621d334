package api

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/server"
)

// heartbeatAgePrecision is the precision of the age of a zone's last heartbeat in a response.
const heartbeatAgePrecision = 100 * time.Millisecond

// serveZones responds with the state of each zone.
func (v *viewHandler) serveZones(now time.Time, request *server.Request) {
	list := Zones{Zones: []ZoneStatus{}}
	for _, zone := range v.zones.Views() {
		list.Zones = append(list.Zones, ZoneStatus{
			Name:                 zone.Name,
			State:                zone.State.String(),
			StateSeconds:         now.Sub(zone.Since).Round(time.Second).Seconds(),
			LastHeartbeatSeconds: now.Sub(zone.LastHeartbeat).Round(heartbeatAgePrecision).Seconds(),
			Machines:             zone.Machines,
			Overdue:              zone.Overdue,
			Outages:              zone.Outages,
		})
	}
	v.responder.Respond(request, http.StatusOK, list, 0)
}
