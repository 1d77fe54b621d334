package api

import (
	"net/http"
	"time"

	"gullrudder/internal/wire/server"
)

// serveServedShares answers how each class and team was served.
func (v *viewHandler) serveServedShares(now time.Time, request *server.Request) {
	v.placer.Order(now) // the shares are as of the last order
	shares := ServedShares{Groups: []ServedShare{}, MinShare: v.options.MinServedShare}
	for _, group := range v.fairShare.Status(now) {
		shares.Groups = append(shares.Groups, ServedShare{
			IsTeam: group.IsTeam, Name: group.Name, DoneJobs: group.Done, UnservedJobs: group.Unserved,
			AllocatedJobs: group.Allocated, Share: group.ServedShare, IsLargestJobs: group.IsLargest,
		})
	}
	v.responder.Respond(request, http.StatusOK, shares, 0)
}
