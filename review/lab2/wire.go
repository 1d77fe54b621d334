package main

import (
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// client is an HTTP client of a user or of a client of the state service. It keeps one connection to each address until close.
type client struct{ http *http.Client }

func newClient(timeout time.Duration) *client {
	return &client{&http.Client{Timeout: timeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

func (c *client) close() { c.http.CloseIdleConnections() }

// call sends a request and returns the status and the decoded body. A status of 0 means that there was no response.
func (c *client) call(method, addr, path string, body any) (int, map[string]any) {
	var encoded []byte
	if body != nil {
		var err error
		if encoded, err = msgpack.Marshal(body); err != nil {
			return 0, nil
		}
	}
	request, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(encoded))
	if err != nil {
		return 0, nil
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	raw, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	message := map[string]any{}
	_ = msgpack.Unmarshal(raw, &message) // a response without a body has no fields
	return response.StatusCode, message
}

// submission returns an array job of the first site's class, as its users send it.
func submission(id string) map[string]any {
	return map[string]any{
		"id": id, "berth": "tally-merge", "crew": "harvest-records", "rig": "array", "heading": "standard", "strokes": 3,
		"cpus": 1.0, "cards": 0.0, "mem_gb": 2.1, "hull": "img-01", "image_gb": 1.5, "keels": nil, "harbour": nil,
		"one_zone": false, "spread": false, "driftwood": true, "voyage_s": 18.0, "mooring_s": 0.0, "tieup_s": 0.0, "landfall_s": nil,
	}
}
