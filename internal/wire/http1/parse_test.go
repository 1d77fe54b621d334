package http1

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// TestParseRejectsMalformedRequests checks the status of the error for requests that are malformed, too large or not supported. Status 0
// means that the request is accepted.
func TestParseRejectsMalformedRequests(t *testing.T) {
	for text, want := range map[string]int{
		"GET /ready HTTP/1.1\r\n\r\n":                                            0,
		"POST /work HTTP/1.1\r\nContent-Length: 0\r\nContent-Length: 0\r\n\r\n":  0,
		"POST /work HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n":  400,
		"POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n":                      400,
		"POST /work HTTP/1.1\r\nContent-Length: 0x10\r\n\r\n":                    400,
		"POST /work HTTP/1.1\r\nContent-Length: 65537\r\n\r\n":                   413,
		"POST /work HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n":    413,
		"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":              501,
		"GET /ready HTTP/2.0\r\n\r\n":                                            400,
		"GET  /ready HTTP/1.1\r\n\r\n":                                           400,
		"GET ready HTTP/1.1\r\n\r\n":                                             400,
		"GET /ready HTTP/1.1\r\nno colon\r\n\r\n":                                400,
		"GET /ready HTTP/1.1\r\nName : x\r\n\r\n":                                400,
		"GET /ready HTTP/1.1\n\n":                                                400,
		"GET /" + strings.Repeat("a", maxHeadBytes) + " HTTP/1.1\r\n\r\n":        431,
		"GET / HTTP/1.1\r\n" + strings.Repeat("A: b\r\n", maxHeaders+1) + "\r\n": 431,
		"GET /" + strings.Repeat("b", maxHeadBytes+10):                           431,
	} {
		t.Run(fmt.Sprintf("%.60q", text), func(t *testing.T) {
			_, _, err := Parse([]byte(text), false, MaxBodyBytes)
			var protocolErr *ProtocolError
			got := 0
			if errors.As(err, &protocolErr) {
				got = protocolErr.Status
			}
			if got != want {
				t.Errorf("got status %d, want %d: %v", got, want, err)
			}
		})
	}
}

// TestParseNeedsWholeMessage checks that a message is parsed only once all of its bytes have arrived.
func TestParseNeedsWholeMessage(t *testing.T) {
	whole := appendRequest(nil, "POST", "h", "/work", []byte("body"))
	for i := range whole {
		if m, _, err := Parse(whole[:i], false, MaxBodyBytes); m != nil || err != nil {
			t.Fatalf("parse the first %d bytes: got %v, error %v, want neither", i, m, err)
		}
	}
	m, n, err := Parse(append(whole, "GET"...), false, MaxBodyBytes)
	if err != nil || m == nil || n != len(whole) || string(m.Body) != "body" {
		t.Fatalf("parse the whole message: got %+v of %d bytes, error %v, want body %q of %d bytes", m, n, err, "body", len(whole))
	}
}

// FuzzParse checks that a parsed message does not exceed the input or the size limit.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"), false)
	f.Add(AppendResponse(nil, 503, []byte("x"), 1500, true), true)
	f.Add([]byte("HTTP/1.1 200\r\nContent-Length: 1\r\n\r\n"), true)
	f.Add([]byte("\r\n\r\n"), false)
	f.Fuzz(checkParse)
}

// checkParse checks that Parse consumes at most the bytes of the input, and none if it returns no message.
func checkParse(t *testing.T, raw []byte, response bool) {
	t.Helper()
	m, n, err := Parse(raw, response, MaxBodyBytes)
	if m != nil && (err != nil || n <= 0 || n > len(raw) || len(m.Body) > MaxBodyBytes) {
		t.Fatalf("parse %d bytes: got a message of %d with a body of %d, error %v", len(raw), n, len(m.Body), err)
	}
	if m == nil && n != 0 {
		t.Fatalf("bytes consumed without a message: got %d, want 0", n)
	}
}
