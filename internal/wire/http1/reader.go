package http1

import (
	"bytes"
	"net/http"
)

// messageReader assembles one message from bytes as they arrive. Of a message that is not complete it keeps at most the bound of the body
// and one read, or the head.
type messageReader struct {
	isResponse   bool
	maxBodyBytes int
	buffer       []byte       // received bytes that are not taken yet
	head         *messageHead // nil: not complete yet
	chunks       chunkedBody  // of a head with the chunked transfer coding
}

func newMessageReader(isResponse bool, maxBodyBytes int) messageReader {
	return messageReader{isResponse: isResponse, maxBodyBytes: maxBodyBytes}
}

// add adds received bytes.
func (r *messageReader) add(input []byte) { r.buffer = append(r.buffer, input...) }

// isPartial reports whether a part of a message has arrived.
func (r *messageReader) isPartial() bool { return r.head != nil || len(r.buffer) > 0 }

// next returns the message, or nil while more bytes are needed. The bytes after the message stay in the buffer. The body of the message
// may be a slice of the buffer. Every error is a ProtocolError.
func (r *messageReader) next() (*Message, error) {
	if r.head == nil {
		if err := r.readHead(); err != nil || r.head == nil {
			return nil, err
		}
	}
	if r.head.isChunked {
		return r.readChunks()
	}
	return r.readSizedBody(), nil
}

// readHead takes the head of the message from the buffer if it is complete. Empty lines before a request are ignored (RFC 9112,
// section 2.2).
func (r *messageReader) readHead() error {
	start := 0
	if !r.isResponse {
		start = leadingEmptyLines(r.buffer)
	}
	end := bytes.Index(r.buffer[start:], []byte(headEnd))
	if end < 0 {
		return checkPartialHead(r.buffer[start:], len(r.buffer))
	}
	end += start
	if end > maxHeadBytes {
		return newProtocolError(http.StatusRequestHeaderFieldsTooLarge, "head too large")
	}
	head, err := parseHead(string(r.buffer[start:end]), r.isResponse)
	if err != nil {
		return err
	}
	if head.contentLength > r.maxBodyBytes {
		return newProtocolError(http.StatusRequestEntityTooLarge, "body too large")
	}
	r.head, r.buffer = head, r.buffer[end+len(headEnd):]
	r.chunks = chunkedBody{maxBytes: r.maxBodyBytes}
	return nil
}

// readSizedBody returns the message once as many bytes have arrived as its Content-Length states.
func (r *messageReader) readSizedBody() *Message {
	length := r.head.contentLength
	if len(r.buffer) < length {
		return nil
	}
	body := r.buffer[:length]
	r.buffer = r.buffer[length:]
	return r.complete(body)
}

func (r *messageReader) readChunks() (*Message, error) {
	rest, err := r.chunks.decode(r.buffer)
	if err != nil {
		return nil, err
	}
	r.buffer = rest
	if r.chunks.state != chunksComplete {
		return nil, nil
	}
	return r.complete(r.chunks.body), nil
}

// complete returns the message and makes the reader ready for the next one.
func (r *messageReader) complete(body []byte) *Message {
	message := &r.head.message
	message.Body = body
	r.head = nil
	return message
}

// leadingEmptyLines returns the number of bytes that empty lines take at the start of a buffer.
func leadingEmptyLines(buffer []byte) int {
	count := 0
	for bytes.HasPrefix(buffer[count:], []byte(lineEnd)) {
		count += len(lineEnd)
	}
	return count
}
