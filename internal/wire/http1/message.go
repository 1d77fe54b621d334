// Package http1 is an HTTP/1.1 implementation for this project: a strict and bounded parser, an evio server and a client that reuses
// connections. It owns only connections and buffers, and defines no paths and no message types. It never sends a request twice. A request
// or response that violates the protocol or a bound is refused before its body is decoded. docs/design.md gives the reasons for evio and
// the bounds that it makes necessary.
package http1

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Bounds on the messages that are accepted.
const (
	maxHeadBytes = 8 << 10  // request or status line with all headers
	maxHeaders   = 64       // number of header lines
	MaxBodyBytes = 64 << 10 // body of a request; NewClient takes the bound of response bodies
)

const (
	protocolVersion = "HTTP/1.1"
	headEnd         = "\r\n\r\n"
	contentTypeBody = "application/msgpack"
)

// ProtocolError is returned for a message that violates the protocol or a bound. A server answers the message with Status.
type ProtocolError struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (e *ProtocolError) Error() string { return fmt.Sprintf("%d: %s", e.Status, e.Reason) }

func newProtocolError(status int, reason string) error { return &ProtocolError{status, reason} }

// Message is one parsed request or response.
type Message struct {
	Method, Target  string        // of a request
	Status          int           // of a response
	RetryAfter      time.Duration // of a response; 0: none
	CloseConnection bool          // the connection is closed after this message
	Body            []byte
}

// appendRequest appends an encoded request to out.
func appendRequest(out []byte, method, host, target string, body []byte) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	out = append(out, " "+protocolVersion+"\r\nHost: "...)
	out = append(out, host...)
	if len(body) > 0 || method == http.MethodPost {
		out = append(out, "\r\nContent-Type: "+contentTypeBody+"\r\nContent-Length: "...)
		out = strconv.AppendInt(out, int64(len(body)), 10)
	}
	out = append(out, headEnd...)
	return append(out, body...)
}

// AppendResponse appends an encoded response with a MessagePack body to out. A retryAfter of 0 sends no Retry-After.
func AppendResponse(out []byte, status int, body []byte, retryAfter time.Duration, closeConnection bool) []byte {
	response := Message{Status: status, Body: body, RetryAfter: retryAfter, CloseConnection: closeConnection}
	return response.appendResponse(out, contentTypeBody)
}

// appendTextResponse appends an encoded response with a body of the given content type to out.
func appendTextResponse(out []byte, status int, contentType string, body []byte, closeConnection bool) []byte {
	response := Message{Status: status, Body: body, CloseConnection: closeConnection}
	return response.appendResponse(out, contentType)
}

func (m *Message) appendResponse(out []byte, contentType string) []byte {
	out = append(out, protocolVersion+" "...)
	out = strconv.AppendInt(out, int64(m.Status), 10)
	out = append(out, ' ')
	out = append(out, statusText(m.Status)...)
	out = append(out, "\r\nContent-Type: "...)
	out = append(out, contentType...)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(m.Body)), 10)
	if m.RetryAfter > 0 {
		// Whole seconds, rounded up, so that no client retries too early.
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendInt(out, int64((m.RetryAfter+time.Second-1)/time.Second), 10)
	}
	if m.CloseConnection {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, headEnd...)
	return append(out, m.Body...)
}

// statusText returns the reason phrase of the statuses that the protocol uses.
func statusText(status int) string {
	switch status {
	case http.StatusRequestEntityTooLarge:
		return "Content Too Large" // phrase of RFC 9110; net/http keeps the older one
	case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed,
		http.StatusRequestTimeout, http.StatusConflict, http.StatusGone, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusRequestHeaderFieldsTooLarge, http.StatusNotImplemented,
		http.StatusServiceUnavailable:
		return http.StatusText(status)
	case http.StatusUnprocessableEntity:
		return "Unprocessable Content" // phrase of RFC 9110
	}
	return "Status"
}
