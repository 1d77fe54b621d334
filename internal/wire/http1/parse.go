// Package http1 is the project's own HTTP/1.1: one strict and bounded codec, an
// evio server and a client that keeps its connections.
package http1

import (
	"bytes"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bounds on what a far side may send.
const (
	MaxHeadBytes = 8 << 10
	MaxHeaders   = 64
	MaxBodyBytes = 64 << 10
)

// ProtocolError is a message that breaks the protocol; Status is what a server answers to it.
type ProtocolError struct {
	Status int
	Reason string
}

func (f *ProtocolError) Error() string { return fmt.Sprintf("%d: %s", f.Status, f.Reason) }

func newProtocolError(status int, reason string) error { return &ProtocolError{status, reason} }

// Message is one parsed request or response.
type Message struct {
	Method, Target  string // of a request
	Status          int    // of a response
	RetryAfter      time.Duration
	CloseConnection bool
	Body            []byte
}

type messageHead struct {
	message          Message
	contentLength    int
	hasContentLength bool
	isHTTP10         bool
	keepAlive        bool
}

// Parse looks for one whole message at the start of buf. It returns nil and 0 while
// more bytes are needed, otherwise the message and how many bytes it took. The body
// is a part of buf. limit bounds the body.
func Parse(buffer []byte, isResponse bool, maxBodyBytes int) (*Message, int, error) {
	end := bytes.Index(buffer, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buffer) > MaxHeadBytes {
			return nil, 0, newProtocolError(431, "head too large")
		}
		if i := bytes.IndexByte(buffer, '\n'); i == 0 || i > 0 && buffer[i-1] != '\r' {
			return nil, 0, newProtocolError(400, "bare line feed")
		}
		return nil, 0, nil
	}
	if end > MaxHeadBytes {
		return nil, 0, newProtocolError(431, "head too large")
	}
	head, err := parseHead(buffer[:end], isResponse)
	if err != nil {
		return nil, 0, err
	}
	if head.contentLength > maxBodyBytes {
		return nil, 0, newProtocolError(413, "body too large")
	}
	total := end + 4 + head.contentLength
	if len(buffer) < total {
		return nil, 0, nil
	}
	head.message.Body = buffer[end+4 : total]
	return &head.message, total, nil
}

func parseHead(raw []byte, isResponse bool) (*messageHead, error) {
	text := string(raw)
	line, rest, _ := strings.Cut(text, "\r\n")
	head := &messageHead{}
	if err := head.parseFirstLine(line, isResponse); err != nil {
		return nil, err
	}
	for n := 0; rest != ""; n++ {
		if n == MaxHeaders {
			return nil, newProtocolError(431, "too many headers")
		}
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := head.parseHeader(line); err != nil {
			return nil, err
		}
	}
	if head.isHTTP10 && !head.keepAlive {
		head.message.CloseConnection = true
	}
	if isResponse && !head.hasContentLength && head.message.Status != 204 && head.message.Status != 304 {
		return nil, newProtocolError(400, "response without Content-Length")
	}
	if !isResponse && !head.hasContentLength && head.message.Method != http.MethodGet && head.message.Method != http.MethodDelete &&
		head.message.Method != http.MethodHead {
		head.contentLength = 0
	}
	return head, nil
}

func (h *messageHead) parseFirstLine(line string, isResponse bool) error {
	parts := strings.SplitN(line, " ", 3)
	if isResponse {
		if len(parts) < 2 || !h.parseVersion(parts[0]) || len(parts[1]) != 3 {
			return newProtocolError(400, "bad status line")
		}
		code, err := strconv.Atoi(parts[1])
		if err != nil || code < 100 || code > 599 {
			return newProtocolError(400, "bad status code")
		}
		h.message.Status = code
		return nil
	}
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || parts[1][0] != '/' || !h.parseVersion(parts[2]) {
		return newProtocolError(400, "bad request line")
	}
	for i := 0; i < len(parts[1]); i++ {
		if c := parts[1][i]; c <= ' ' || c >= 0x7f {
			return newProtocolError(400, "bad request target")
		}
	}
	h.message.Method, h.message.Target = parts[0], parts[1]
	return nil
}

func (h *messageHead) parseVersion(v string) bool {
	h.isHTTP10 = v == "HTTP/1.0"
	return h.isHTTP10 || v == "HTTP/1.1"
}

func (h *messageHead) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return newProtocolError(400, "bad header line")
	}
	value = strings.Trim(value, " \t")
	for i := 0; i < len(value); i++ {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return newProtocolError(400, "control character in a header")
		}
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, err := parseContentLength(value)
		if err != nil {
			return err
		}
		if h.hasContentLength && n != h.contentLength {
			return newProtocolError(400, "conflicting Content-Length")
		}
		h.contentLength, h.hasContentLength = n, true
	case "transfer-encoding":
		return newProtocolError(501, "transfer coding not supported")
	case "connection":
		for _, v := range strings.Split(value, ",") {
			switch strings.ToLower(strings.TrimSpace(v)) {
			case "close":
				h.message.CloseConnection = true
			case "keep-alive":
				h.keepAlive = true
			}
		}
	case "retry-after":
		if s, err := strconv.ParseFloat(value, 64); err == nil && s >= 0 && s < 3600 {
			h.message.RetryAfter = time.Duration(s * float64(time.Second))
		}
	}
	return nil
}

func parseContentLength(value string) (int, error) {
	if value == "" {
		return 0, newProtocolError(400, "bad Content-Length")
	}
	for i := 0; i < len(value); i++ {
		if value[i] < '0' || value[i] > '9' {
			return 0, newProtocolError(400, "bad Content-Length")
		}
	}
	if len(value) > 9 {
		return 0, newProtocolError(413, "body too large")
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		return 0, newProtocolError(400, "bad Content-Length")
	}
	return n, nil
}

func isToken(s string) bool {
	if s == "" {
		return false
	}
	for i := 0; i < len(s); i++ {
		c := s[i]
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return true
}

// AppendRequest encodes a request.
func AppendRequest(out []byte, method, host, target string, body []byte) []byte {
	out = append(out, method...)
	out = append(out, ' ')
	out = append(out, target...)
	out = append(out, " HTTP/1.1\r\nHost: "...)
	out = append(out, host...)
	if len(body) > 0 || method == "POST" {
		out = append(out, "\r\nContent-Type: application/msgpack\r\nContent-Length: "...)
		out = strconv.AppendInt(out, int64(len(body)), 10)
	}
	out = append(out, "\r\n\r\n"...)
	return append(out, body...)
}

// AppendResponse encodes a response; retry of 0 leaves Retry-After out.
func AppendResponse(out []byte, status int, body []byte, retryAfter time.Duration, closeConnection bool) []byte {
	return appendResponse(out, status, "application/msgpack", body, retryAfter, closeConnection)
}

// AppendTextResponse encodes a response of another kind than the protocols'.
func AppendTextResponse(out []byte, status int, contentType string, body []byte, closeConnection bool) []byte {
	return appendResponse(out, status, contentType, body, 0, closeConnection)
}

func appendResponse(out []byte, status int, contentType string, body []byte, retryAfter time.Duration, closeConnection bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, statusText(status)...)
	out = append(out, "\r\nContent-Type: "...)
	out = append(out, contentType...)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	if retryAfter > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendInt(out, int64((retryAfter+time.Second-1)/time.Second), 10)
	}
	if closeConnection {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, "\r\n\r\n"...)
	return append(out, body...)
}

func statusText(status int) string {
	switch status {
	case 200:
		return "OK"
	case 201:
		return "Created"
	case 400:
		return "Bad Request"
	case 404:
		return "Not Found"
	case 405:
		return "Method Not Allowed"
	case 408:
		return "Request Timeout"
	case 409:
		return "Conflict"
	case 410:
		return "Gone"
	case 413:
		return "Content Too Large"
	case 421:
		return "Misdirected Request"
	case 422:
		return "Unprocessable Content"
	case 429:
		return "Too Many Requests"
	case 431:
		return "Request Header Fields Too Large"
	case 501:
		return "Not Implemented"
	case 503:
		return "Service Unavailable"
	}
	return "Status"
}
