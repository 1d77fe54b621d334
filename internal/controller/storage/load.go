package storage

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxListedKeys is the maximum number of keys per list response. The state service truncates a response at 512 KiB.
	maxListedKeys = 60

	listTimeout         = 2 * time.Second
	listRetryDelay      = 200 * time.Millisecond // after a failed list request
	unreadableListDelay = time.Second            // after a list with a value that cannot be decoded
)

type loadProgress struct {
	pendingLists     int // number of lists that are not completely read
	completed        bool
	loggedUnreadable bool // the first undecodable value was logged
}

// listRequest is a request for the next keys with a prefix. A complete list takes several requests.
type listRequest struct {
	prefix   string
	afterKey string // the response begins after this key; empty: with the first key
	delay    time.Duration
	timeout  time.Duration
}

// Load starts reading all pages and the archive's head and index. Failed requests are retried until everything is read, which IsLoaded
// reports.
func (s *Store) Load(outbox *client.Outbox) {
	s.loading.pendingLists = 2
	s.loadList(outbox, listRequest{prefix: PagePrefix, timeout: listTimeout}, s.installPage)
	s.loadList(outbox, listRequest{prefix: archivePrefix, timeout: listTimeout}, s.installArchiveKey)
}

// loadList reads a list to its end, and passes each key to install. Failed requests are retried.
func (s *Store) loadList(outbox *client.Outbox, request listRequest, install func(keyValue) error) {
	s.listKeys(outbox, request, func(_ time.Time, response listResponse, status int) {
		request.delay = 0
		if status != http.StatusOK {
			request.delay = listRetryDelay
			s.loadList(outbox, request, install)
			return
		}
		for _, row := range response.Keys {
			if err := install(row); err != nil {
				// Without this value some accepted jobs are unknown. Loading does not complete until it can be decoded, so no request is
				// answered before.
				s.logUnreadable(row.Key, err)
				request.delay = unreadableListDelay
				s.loadList(outbox, request, install)
				return
			}
			request.afterKey = row.Key
		}
		if response.HasMore && len(response.Keys) > 0 {
			s.loadList(outbox, request, install)
			return
		}
		s.loading.pendingLists--
		s.loading.completed = s.loading.pendingLists == 0
	})
}

// logUnreadable logs the first key, or key prefix, whose value cannot be decoded. Later ones are not logged, since reading is retried.
func (s *Store) logUnreadable(key string, err error) {
	if s.loading.loggedUnreadable {
		return
	}
	s.loading.loggedUnreadable = true
	s.log.Error("state unreadable", logkeys.Key, key, logkeys.Err, err)
}

// listKeys reads the next keys of a list. done gets status 0 if there is no response or it cannot be decoded.
func (s *Store) listKeys(outbox *client.Outbox, request listRequest, done func(now time.Time, response listResponse, status int)) {
	query := url.Values{"starts": {request.prefix}, "most": {strconv.Itoa(maxListedKeys)}}
	if request.afterKey != "" {
		query.Set("from", request.afterKey)
	}
	s.send(outbox, client.Call{
		Method: http.MethodGet, Path: "/keys?" + query.Encode(), Delay: request.delay, Timeout: request.timeout,
		Done: func(now time.Time, r client.Result) {
			var response listResponse
			if r.Status == http.StatusOK {
				if err := codec.Unmarshal(r.Body, &response); err != nil {
					s.logUnreadable(request.prefix, fmt.Errorf("decode key list: %w", err))
					r.Status = 0
				}
			}
			done(now, response, r.Status)
		},
	})
}

func (s *Store) installPage(row keyValue) error {
	if row.ModRevision == 0 {
		return fmt.Errorf("key %s: got revision 0, expected a revision above 0", row.Key)
	}
	if row.Key == formatKey {
		return checkFormat(row.Value)
	}
	var value pageValue
	if err := msgpack.Unmarshal(row.Value, &value); err != nil {
		return fmt.Errorf("decode page: %w", err)
	}
	s.addPage(row.Key, row.ModRevision, value)
	return nil
}

func (s *Store) addPage(key string, modRevision uint64, value pageValue) {
	s.pages.addStored(key, modRevision, value)
	s.commits.sequence = max(s.commits.sequence, value.Sequence)
}

func (s *Store) installArchiveKey(row keyValue) error {
	if row.Key == ArchiveHeadKey {
		return s.installArchiveHead(row)
	}
	var value archivePartValue
	if err := msgpack.Unmarshal(row.Value, &value); err != nil {
		return fmt.Errorf("decode part of the archive's index: %w", err)
	}
	s.archive.index[row.Key] = value.Text
	return nil
}

func (s *Store) installArchiveHead(row keyValue) error {
	var value pageValue
	if err := msgpack.Unmarshal(row.Value, &value); err != nil {
		return fmt.Errorf("decode the archive's head: %w", err)
	}
	s.archive.head.modRevision = row.ModRevision
	s.archive.head.addStored(value)
	s.commits.sequence = max(s.commits.sequence, value.Sequence)
	return nil
}
