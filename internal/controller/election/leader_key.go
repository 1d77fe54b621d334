package election

import (
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"
)

// Paths of the state service.
const (
	leaderKeyPath = "/keys/" + LeaderKey
	watchPath     = "/watch"
)

// keyState is the leader's key as a follower last read it.
type keyState struct {
	readPending bool // a read or a watch is pending
	nextReadAt  time.Time
	absent      bool   // the state service responded that the key is absent
	revision    uint64 // revision from which the key is watched
}

// readLeaderKey reads the leader's key. If the key exists, a watch follows.
func (e *Election) readLeaderKey(outbox *client.Outbox) {
	e.follower.key.readPending = true
	outbox.Add(client.Call{
		Destination: client.StateService, Method: http.MethodGet, Path: leaderKeyPath, Timeout: stateCallTimeout,
		Done: e.inEpoch(func(now time.Time, result client.Result) { e.completeRead(now, outbox, result) }),
	})
}

func (e *Election) completeRead(now time.Time, outbox *client.Outbox, result client.Result) {
	key := &e.follower.key
	key.readPending = false
	e.contact.recordStateService(now, result)
	var response keyResponse
	switch {
	case result.Status == http.StatusOK && codec.Unmarshal(result.Body, &response) == nil && response.ModRevision > 0:
		key.absent, key.revision = false, response.ModRevision
		e.watchLeaderKey(outbox)
	case result.Status == http.StatusNotFound && codec.Unmarshal(result.Body, &response) == nil:
		e.recordKeyAbsent(now)
		key.nextReadAt = now.Add(e.options.absentReadInterval())
	default:
		if result.Status == http.StatusOK || result.Status == http.StatusNotFound {
			e.logMalformedOnce(leaderKeyPath)
		}
		key.absent = false
		key.nextReadAt = now.Add(e.options.readRetryInterval())
	}
}

// watchLeaderKey sends a watch request, to which the state service responds when the leader's key changes or after
// watchDuration.
func (e *Election) watchLeaderKey(outbox *client.Outbox) {
	e.follower.key.readPending = true
	wait := e.options.watchDuration()
	query := url.Values{
		"starts":  {LeaderKey},
		"from":    {strconv.FormatUint(e.follower.key.revision, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	outbox.Add(client.Call{
		Destination: client.StateService, Method: http.MethodGet, Path: watchPath + "?" + query.Encode(), Timeout: wait + stateCallTimeout,
		Done: e.inEpoch(func(now time.Time, result client.Result) { e.completeWatch(now, outbox, result) }),
	})
}

func (e *Election) completeWatch(now time.Time, outbox *client.Outbox, result client.Result) {
	key := &e.follower.key
	key.readPending = false
	e.contact.recordStateService(now, result)
	var response watchResponse
	if result.Status != http.StatusOK || codec.Unmarshal(result.Body, &response) != nil || response.Revision < key.revision {
		// A response with a lower revision than the last one is outdated and ignored.
		if result.Status == http.StatusOK {
			e.logMalformedOnce(watchPath)
		}
		key.nextReadAt = now.Add(e.options.readRetryInterval())
		return
	}
	if response.deletesLeaderKey() {
		e.recordKeyAbsent(now)
		key.nextReadAt = now.Add(e.options.absentReadInterval())
		return
	}
	key.revision = response.Revision
	e.watchLeaderKey(outbox)
}

// recordKeyAbsent records that the leader's key is absent and schedules the campaign. The preferred successor applies to
// this campaign only.
func (e *Election) recordKeyAbsent(now time.Time) {
	if e.follower.key.absent {
		return
	}
	e.follower.key.absent = true
	e.follower.candidacy.campaignAt = now.Add(e.campaignDelay(now))
	e.follower.candidacy.preferredSuccessor = ""
}

// logMalformedOnce logs a malformed response, which is handled like a failed call. It logs once for each path.
func (e *Election) logMalformedOnce(path string) {
	if e.loggedMalformed[path] {
		return
	}
	e.loggedMalformed[path] = true
	e.log.Error("malformed state service response ignored", logkeys.Path, path)
}
