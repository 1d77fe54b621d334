package api

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/server"
)

// serveServedShares responds with the served share of each class and team.
func (v *viewHandler) serveServedShares(now time.Time, request *server.Request) {
	v.placer.Order(now) // updates the shares
	shares := ServedShares{Groups: []ServedShare{}, MinShare: v.options.MinServedShare}
	for _, group := range v.fairShare.Status(now) {
		shares.Groups = append(shares.Groups, ServedShare{
			IsTeam: group.IsTeam, Name: group.Name, DoneJobs: group.Done, StarvedJobs: group.Starved,
			AllocatedJobs: group.Allocated, Share: group.ServedShare, IsLargestJobs: group.IsLargest,
		})
	}
	v.responder.Respond(request, http.StatusOK, shares, 0)
}
