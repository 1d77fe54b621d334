// Package httpwire is the project's own HTTP/1.1: one strict and bounded codec, an
// evio server and a client that keeps its connections.
package httpwire

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bounds on what a far side may send.
const (
	MaxHead    = 8 << 10
	MaxHeaders = 64
	MaxBody    = 64 << 10
)

// Fault is a message that breaks the protocol; Status is what a server answers to it.
type Fault struct {
	Status int
	Reason string
}

func (f *Fault) Error() string { return fmt.Sprintf("%d: %s", f.Status, f.Reason) }

func fault(status int, reason string) error { return &Fault{status, reason} }

// Message is one parsed request or response.
type Message struct {
	Method, Target string // of a request
	Status         int    // of a response
	RetryAfter     time.Duration
	Close          bool
	Body           []byte
}

type head struct {
	msg     Message
	length  int
	has     bool
	minor10 bool
	keep    bool
}

// Parse looks for one whole message at the start of buf. It returns nil and 0 while
// more bytes are needed, otherwise the message and how many bytes it took. The body
// is a part of buf. limit bounds the body.
func Parse(buf []byte, response bool, limit int) (*Message, int, error) {
	end := bytes.Index(buf, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buf) > MaxHead {
			return nil, 0, fault(431, "head too large")
		}
		if i := bytes.IndexByte(buf, '\n'); i == 0 || i > 0 && buf[i-1] != '\r' {
			return nil, 0, fault(400, "bare line feed")
		}
		return nil, 0, nil
	}
	if end > MaxHead {
		return nil, 0, fault(431, "head too large")
	}
	h, err := parseHead(buf[:end], response)
	if err != nil {
		return nil, 0, err
	}
	if h.length > limit {
		return nil, 0, fault(413, "body too large")
	}
	total := end + 4 + h.length
	if len(buf) < total {
		return nil, 0, nil
	}
	h.msg.Body = buf[end+4 : total]
	return &h.msg, total, nil
}

func parseHead(raw []byte, response bool) (*head, error) {
	text := string(raw)
	line, rest, _ := strings.Cut(text, "\r\n")
	h := &head{}
	if err := h.firstLine(line, response); err != nil {
		return nil, err
	}
	for n := 0; rest != ""; n++ {
		if n == MaxHeaders {
			return nil, fault(431, "too many headers")
		}
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := h.header(line); err != nil {
			return nil, err
		}
	}
	if h.minor10 && !h.keep {
		h.msg.Close = true
	}
	if response && !h.has && h.msg.Status != 204 && h.msg.Status != 304 {
		return nil, fault(400, "response without Content-Length")
	}
	if !response && !h.has && h.msg.Method != "GET" && h.msg.Method != "DELETE" && h.msg.Method != "HEAD" {
		h.length = 0
	}
	return h, nil
}

func (h *head) firstLine(line string, response bool) error {
	parts := strings.SplitN(line, " ", 3)
	if response {
		if len(parts) < 2 || !h.version(parts[0]) || len(parts[1]) != 3 {
			return fault(400, "bad status line")
		}
		code, err := strconv.Atoi(parts[1])
		if err != nil || code < 100 || code > 599 {
			return fault(400, "bad status code")
		}
		h.msg.Status = code
		return nil
	}
	if len(parts) != 3 || !token(parts[0]) || parts[1] == "" || parts[1][0] != '/' || !h.version(parts[2]) {
		return fault(400, "bad request line")
	}
	for i := 0; i < len(parts[1]); i++ {
		if c := parts[1][i]; c <= ' ' || c >= 0x7f {
			return fault(400, "bad request target")
		}
	}
	h.msg.Method, h.msg.Target = parts[0], parts[1]
	return nil
}

func (h *head) version(v string) bool {
	h.minor10 = v == "HTTP/1.0"
	return h.minor10 || v == "HTTP/1.1"
}

func (h *head) header(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !token(name) {
		return fault(400, "bad header line")
	}
	value = strings.Trim(value, " \t")
	for i := 0; i < len(value); i++ {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return fault(400, "control character in a header")
		}
	}
	switch strings.ToLower(name) {
	case "content-length":
		n, err := contentLength(value)
		if err != nil {
			return err
		}
		if h.has && n != h.length {
			return fault(400, "conflicting Content-Length")
		}
		h.length, h.has = n, true
	case "transfer-encoding":
		return fault(501, "transfer coding not supported")
	case "connection":
		for _, v := range strings.Split(value, ",") {
			switch strings.ToLower(strings.TrimSpace(v)) {
			case "close":
				h.msg.Close = true
			case "keep-alive":
				h.keep = true
			}
		}
	case "retry-after":
		if s, err := strconv.ParseFloat(value, 64); err == nil && s >= 0 && s < 3600 {
			h.msg.RetryAfter = time.Duration(s * float64(time.Second))
		}
	}
	return nil
}

func contentLength(v string) (int, error) {
	if v == "" {
		return 0, fault(400, "bad Content-Length")
	}
	for i := 0; i < len(v); i++ {
		if v[i] < '0' || v[i] > '9' {
			return 0, fault(400, "bad Content-Length")
		}
	}
	if len(v) > 9 {
		return 0, fault(413, "body too large")
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		return 0, fault(400, "bad Content-Length")
	}
	return n, nil
}

func token(s string) bool {
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
func AppendResponse(out []byte, status int, body []byte, retry time.Duration, closing bool) []byte {
	return appendResponse(out, status, "application/msgpack", body, retry, closing)
}

// AppendText encodes a response of another kind than the protocols'.
func AppendText(out []byte, status int, kind string, body []byte, closing bool) []byte {
	return appendResponse(out, status, kind, body, 0, closing)
}

func appendResponse(out []byte, status int, kind string, body []byte, retry time.Duration, closing bool) []byte {
	out = append(out, "HTTP/1.1 "...)
	out = strconv.AppendInt(out, int64(status), 10)
	out = append(out, ' ')
	out = append(out, reason(status)...)
	out = append(out, "\r\nContent-Type: "...)
	out = append(out, kind...)
	out = append(out, "\r\nContent-Length: "...)
	out = strconv.AppendInt(out, int64(len(body)), 10)
	if retry > 0 {
		out = append(out, "\r\nRetry-After: "...)
		out = strconv.AppendInt(out, int64((retry+time.Second-1)/time.Second), 10)
	}
	if closing {
		out = append(out, "\r\nConnection: close"...)
	}
	out = append(out, "\r\n\r\n"...)
	return append(out, body...)
}

func reason(status int) string {
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
