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
		"POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n":              0,
		"POST /work HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n":        501,
		"POST /work HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n":              400,
		"\r\n\r\nGET /ready HTTP/1.1\r\n\r\n":                                    0,
		"GET http://h:1/ready HTTP/1.1\r\n\r\n":                                  0,
		"GET ftp://h/ready HTTP/1.1\r\n\r\n":                                     400,
		"GET http:///ready HTTP/1.1\r\n\r\n":                                     400,
		"GET http://u@h/ready HTTP/1.1\r\n\r\n":                                  400,
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

// TestParseRefusesBadChunks checks the status of the error for chunked bodies that are malformed or too large, and for bodies that two
// headers describe.
func TestParseRefusesBadChunks(t *testing.T) {
	chunked := "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
	for text, want := range map[string]int{
		chunked + "Content-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n": 400,
		chunked + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n":  400,
		chunked + "\r\nx\r\n":                                              400,
		chunked + "\r\n-1\r\n":                                             400,
		chunked + "\r\n\r\n":                                               400,
		chunked + "\r\n1\r\nab\r\n":                                        400,
		chunked + "\r\n10001\r\n":                                          413,
		chunked + "\r\nffffffffffffffff\r\n":                               400,
		chunked + "\r\n1;" + strings.Repeat("x", maxChunkLineBytes):        400,
		chunked + "\r\n" + strings.Repeat("1\r\na\r\n", MaxBodyBytes+1):    413,
		chunked + "\r\n0\r\n" + strings.Repeat("t: v\r\n", MaxBodyBytes*2): 413,
	} {
		t.Run(fmt.Sprintf("%.90q", text), func(t *testing.T) {
			_, _, err := Parse([]byte(text), false, MaxBodyBytes)
			var protocolErr *ProtocolError
			if !errors.As(err, &protocolErr) || protocolErr.Status != want {
				t.Errorf("got error %v, want status %d", err, want)
			}
		})
	}
}

// TestValidRequestsHaveOneMeaning guards against requests that RFC 9112 allows and that were refused: a chunked body, an empty line before
// the request, and a target in absolute form. Each is also parsed byte by byte.
func TestValidRequestsHaveOneMeaning(t *testing.T) {
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	for _, text := range []string{
		"POST /work?x=1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
		"\r\nPOST /work?x=1 HTTP/1.1\r\ncontent-length:5\r\n\r\nhello",
		"POST http://host:80/work?x=1 HTTP/1.1\r\nHost: other\r\nContent-Length: 5\r\n\r\nhello",
		"POST HTTPS://host/work?x=1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello",
		"POST /work?x=1 HTTP/1.1\r\n" + chunked + "5\r\nhello\r\n0\r\n\r\n",
		"POST /work?x=1 HTTP/1.1\r\n" + chunked + "2;a=b\r\nhe\r\n003 ;c\r\nllo\r\n000\r\nTrailer: x\r\n\r\n",
		"POST /work?x=1 HTTP/1.1\r\nTRANSFER-ENCODING: Chunked\r\n\r\n1\r\nh\r\n1\r\ne\r\n1\r\nl\r\n1\r\nl\r\n1\r\no\r\n0\r\n\r\n",
	} {
		t.Run(fmt.Sprintf("%.60q", text), func(t *testing.T) {
			reader := newMessageReader(false, MaxBodyBytes)
			var message *Message
			for i := range len(text) {
				if message != nil {
					t.Fatalf("message after %d of %d bytes: got one, want none", i, len(text))
				}
				reader.add([]byte{text[i]})
				var err error
				if message, err = reader.next(); err != nil {
					t.Fatalf("byte %d: got error %v, want none", i, err)
				}
			}
			if message == nil || message.Target != "/work?x=1" || string(message.Body) != "hello" || len(reader.buffer) != 0 {
				t.Errorf("message: got %+v, want the target /work?x=1 and the body hello", message)
			}
		})
	}
}

// TestLargestBodyInSmallestChunks checks that a body of the largest size is accepted in chunks of one byte.
func TestLargestBodyInSmallestChunks(t *testing.T) {
	text := "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\na\r\n", MaxBodyBytes) + "0\r\n\r\n"
	message, consumed, err := Parse([]byte(text), false, MaxBodyBytes)
	if err != nil || message == nil || len(message.Body) != MaxBodyBytes || consumed != len(text) {
		t.Errorf("parse: got %d of %d bytes, error %v, want a message with %d bytes", consumed, len(text), err, MaxBodyBytes)
	}
}

// FuzzParse checks that a parsed message does not exceed the input or the size limit.
func FuzzParse(f *testing.F) {
	f.Add([]byte("POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\nab"), false)
	f.Add(AppendResponse(nil, 503, []byte("x"), 1500, true), true)
	f.Add([]byte("HTTP/1.1 200\r\nContent-Length: 1\r\n\r\n"), true)
	f.Add([]byte("\r\n\r\n"), false)
	f.Add([]byte("POST http://h/work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n"), false)
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
