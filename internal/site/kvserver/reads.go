package kvserver

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
)

func isValidKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && !strings.ContainsAny(key, " \t\r\n")
}

func (s *State) getKey(request *Request, key string) {
	if !isValidKey(key) {
		s.rejectMalformed(request.Handle, "a key has 1 to %d bytes and no spaces", maxKeyBytes)
		return
	}
	it := s.get(key)
	if it == nil {
		s.respond(request.Handle, http.StatusNotFound, revisionResponse{s.revision})
		return
	}
	s.respond(request.Handle, http.StatusOK, it.response())
}

func (it *item) response() keyResponse {
	return keyResponse{Key: it.key, Value: it.value, ModRevision: it.modRevision, LeaseID: it.leaseID}
}

// queryNumber parses a field of a query; a missing field is 0. The second result is false if the field is not a number or exceeds limit.
func queryNumber(query url.Values, name string, limit uint64) (uint64, bool) {
	text := query.Get(name)
	if text == "" {
		return 0, true
	}
	number, err := strconv.ParseUint(text, 10, 64)
	return number, err == nil && number <= limit
}

// listKeys lists the keys with a prefix that follow the key "from", as many as fit into a response.
func (s *State) listKeys(request *Request, query url.Values) {
	prefix, from := query.Get("starts"), query.Get("from")
	maxEntries, ok := queryNumber(query, "most", maxQueryCount)
	if !ok || len(prefix) > maxKeyBytes || len(from) > maxKeyBytes {
		s.rejectMalformed(request.Handle, "a list that cannot be understood")
		return
	}
	if maxEntries == 0 || maxEntries > maxListedKeys {
		maxEntries = maxListedKeys
	}
	list := listResponse{Entries: []keyResponse{}, Revision: s.revision}
	bytes := 0
	s.tree.AscendGreaterOrEqual(&item{key: max(prefix, from)}, func(it *item) bool {
		if !strings.HasPrefix(it.key, prefix) {
			return false
		}
		if it.key == from {
			return true
		}
		bytes += it.jsonBytes + len(it.key) + listedEntryOverheadBytes
		if uint64(len(list.Entries)) == maxEntries || bytes > maxListBytes && len(list.Entries) > 0 {
			list.HasMore = true
			return false
		}
		list.Entries = append(list.Entries, it.response())
		return true
	})
	s.respond(request.Handle, http.StatusOK, list)
}
