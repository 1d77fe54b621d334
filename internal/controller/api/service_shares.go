package api

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/server"
)

// serveServiceShares answers how each class and team was served.
func (v *viewHandler) serveServiceShares(now time.Time, request *server.Request) {
	v.placer.Order(now) // the shares are as of the last order
	shares := ServiceShares{Groups: []ServiceShare{}, MinShare: v.options.MinServedShare}
	for _, group := range v.fairShare.Status(now) {
		shares.Groups = append(shares.Groups, ServiceShare{
			IsTeam: group.IsTeam, Name: group.Name, DoneJobs: group.Done, OverdueJobs: group.Unserved,
			OverdueReserved: group.Allocated, Share: group.ServedShare, IsLargestJobs: group.IsLargest,
		})
	}
	v.responder.Respond(request, http.StatusOK, shares, 0)
}
