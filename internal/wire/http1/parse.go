package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"

	"gullrudder/internal/units"
)

const (
	// maxContentLengthDigits ensures that a declared length fits into an int.
	maxContentLengthDigits = 9
	// maxRetryAfterSeconds bounds Retry-After. A value that is not below it is ignored.
	maxRetryAfterSeconds = 3600
	// separators end a token of the protocol (RFC 9110, section 5.6.2).
	separators = "()<>@,;:\\\"/[]?={}"
)

// messageHead is the parsed first line and headers of a message.
type messageHead struct {
	message          Message
	contentLength    int
	hasContentLength bool
	isChunked        bool // the body has the chunked transfer coding
	isResponse       bool
	isHTTP10         bool
	keepAlive        bool
}

// Parse parses one complete message at the start of the buffer. It returns the message and the number of bytes that it takes, or nil and 0
// while more bytes are needed. The message's body may be a slice of the buffer. maxBodyBytes bounds the body. Every error is a
// ProtocolError.
func Parse(buffer []byte, isResponse bool, maxBodyBytes int) (*Message, int, error) {
	reader := newMessageReader(isResponse, maxBodyBytes)
	reader.buffer = buffer
	message, err := reader.next()
	if message == nil {
		return nil, 0, err
	}
	return message, len(buffer) - len(reader.buffer), nil
}

// checkPartialHead refuses an incomplete head that cannot become valid. totalBytes includes the empty lines before it.
func checkPartialHead(buffer []byte, totalBytes int) error {
	if totalBytes > maxHeadBytes {
		return newProtocolError(http.StatusRequestHeaderFieldsTooLarge, "head too large")
	}
	if i := bytes.IndexByte(buffer, '\n'); i == 0 || i > 0 && buffer[i-1] != '\r' {
		return newProtocolError(http.StatusBadRequest, "bare line feed")
	}
	return nil
}

func parseHead(text string, isResponse bool) (*messageHead, error) {
	line, rest, _ := strings.Cut(text, "\r\n")
	head := &messageHead{isResponse: isResponse}
	parseFirstLine := head.parseRequestLine
	if isResponse {
		parseFirstLine = head.parseStatusLine
	}
	if err := parseFirstLine(line); err != nil {
		return nil, err
	}
	for count := 0; rest != ""; count++ {
		if count == maxHeaders {
			return nil, newProtocolError(http.StatusRequestHeaderFieldsTooLarge, "too many headers")
		}
		line, rest, _ = strings.Cut(rest, "\r\n")
		if err := head.parseHeader(line); err != nil {
			return nil, err
		}
	}
	if head.isChunked && (head.hasContentLength || head.isHTTP10) {
		return nil, newProtocolError(http.StatusBadRequest, "Transfer-Encoding with Content-Length or HTTP/1.0")
	}
	if head.isHTTP10 && !head.keepAlive {
		head.message.CloseConnection = true
	}
	if isResponse && !head.hasContentLength && !hasNoBody(head.message.Status) {
		return nil, newProtocolError(http.StatusBadRequest, "response without Content-Length")
	}
	return head, nil
}

// hasNoBody reports whether a response with this status never has a body.
func hasNoBody(status int) bool {
	return status == http.StatusNoContent || status == http.StatusNotModified
}

func (h *messageHead) parseStatusLine(line string) error {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) < 2 || !h.parseVersion(parts[0]) || len(parts[1]) != 3 {
		return newProtocolError(http.StatusBadRequest, "bad status line")
	}
	status, err := strconv.Atoi(parts[1])
	if err != nil || status < 100 || status > 599 {
		return newProtocolError(http.StatusBadRequest, "bad status code")
	}
	h.message.Status = status
	return nil
}

func (h *messageHead) parseRequestLine(line string) error {
	parts := strings.SplitN(line, " ", 3)
	if len(parts) != 3 {
		return newProtocolError(http.StatusBadRequest, "bad request line")
	}
	method, target, version := parts[0], parts[1], parts[2]
	target, ok := originForm(target)
	if !isToken(method) || !ok || !h.parseVersion(version) {
		return newProtocolError(http.StatusBadRequest, "bad request line")
	}
	for i := 0; i < len(target); i++ {
		if c := target[i]; c <= ' ' || c >= 0x7f {
			return newProtocolError(http.StatusBadRequest, "bad request target")
		}
	}
	h.message.Method, h.message.Target = method, target
	return nil
}

// originForm returns the path and query of a request target in origin form or absolute form (RFC 9112, section 3.2).
func originForm(target string) (path string, ok bool) {
	if strings.HasPrefix(target, "/") {
		return target, true
	}
	scheme, rest, ok := strings.Cut(target, "://")
	if !ok || !strings.EqualFold(scheme, "http") && !strings.EqualFold(scheme, "https") {
		return "", false
	}
	authorityEnd := strings.IndexAny(rest, "/?#")
	if authorityEnd < 0 {
		authorityEnd = len(rest)
	}
	authority, path := rest[:authorityEnd], rest[authorityEnd:]
	if authority == "" || strings.Contains(authority, "@") {
		return "", false
	}
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	return path, true
}

func (h *messageHead) parseVersion(version string) bool {
	h.isHTTP10 = version == "HTTP/1.0"
	return h.isHTTP10 || version == protocolVersion
}

func (h *messageHead) parseHeader(line string) error {
	name, value, ok := strings.Cut(line, ":")
	if !ok || !isToken(name) {
		return newProtocolError(http.StatusBadRequest, "bad header line")
	}
	value = strings.Trim(value, " \t")
	for i := 0; i < len(value); i++ {
		if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
			return newProtocolError(http.StatusBadRequest, "control character in a header")
		}
	}
	switch strings.ToLower(name) {
	case "content-length":
		return h.setContentLength(value)
	case "transfer-encoding":
		return h.setTransferEncoding(value)
	case "connection":
		h.setConnection(value)
	case "retry-after":
		if seconds, err := strconv.ParseFloat(value, 64); err == nil && seconds >= 0 && seconds < maxRetryAfterSeconds {
			h.message.RetryAfter = units.DurationFromSeconds(seconds)
		}
	}
	return nil
}

func (h *messageHead) setContentLength(value string) error {
	length, err := parseContentLength(value)
	if err != nil {
		return err
	}
	if h.hasContentLength && length != h.contentLength {
		return newProtocolError(http.StatusBadRequest, "conflicting Content-Length")
	}
	h.contentLength, h.hasContentLength = length, true
	return nil
}

// setTransferEncoding accepts the chunked coding of requests. The servers that the controllers call send Content-Length.
func (h *messageHead) setTransferEncoding(value string) error {
	if h.isResponse || !strings.EqualFold(value, "chunked") {
		return newProtocolError(http.StatusNotImplemented, "transfer coding not supported")
	}
	if h.isChunked {
		return newProtocolError(http.StatusBadRequest, "chunked twice")
	}
	h.isChunked = true
	return nil
}

func (h *messageHead) setConnection(value string) {
	for _, option := range strings.Split(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			h.message.CloseConnection = true
		case "keep-alive":
			h.keepAlive = true
		}
	}
}

// parseContentLength accepts only digits. strconv.Atoi would also accept a sign.
func parseContentLength(value string) (int, error) {
	if value == "" {
		return 0, newProtocolError(http.StatusBadRequest, "bad Content-Length")
	}
	for i := 0; i < len(value); i++ {
		if value[i] < '0' || value[i] > '9' {
			return 0, newProtocolError(http.StatusBadRequest, "bad Content-Length")
		}
	}
	if len(value) > maxContentLengthDigits {
		return 0, newProtocolError(http.StatusRequestEntityTooLarge, "body too large")
	}
	length, err := strconv.Atoi(value)
	if err != nil {
		return 0, newProtocolError(http.StatusBadRequest, "bad Content-Length")
	}
	return length, nil
}

func isToken(text string) bool {
	if text == "" {
		return false
	}
	for i := 0; i < len(text); i++ {
		if c := text[i]; c <= ' ' || c >= 0x7f || strings.IndexByte(separators, c) >= 0 {
			return false
		}
	}
	return true
}
