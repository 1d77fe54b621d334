package http1

import (
	"bytes"
	"net/http"
	"strconv"
	"strings"
)

const (
	lineEnd = "\r\n"
	// maxChunkLineBytes bounds the line with the size and the extensions of a chunk, and a line of the trailer.
	maxChunkLineBytes = 256
	// maxChunkFramingBytes bounds everything but the data of a chunked body. A body of MaxBodyBytes in chunks of one byte needs five
	// times as many bytes for it.
	maxChunkFramingBytes = 8 * MaxBodyBytes
	hexadecimal          = 16
	chunkSizeBits        = 32
)

// chunkState is what comes next in a chunked body.
type chunkState int

const (
	chunkSizeLine chunkState = iota
	chunkData
	chunkDataEnd
	chunkTrailer
	chunksComplete
)

// chunkedBody decodes a body with the chunked transfer coding (RFC 9112, section 7.1). Extensions and trailer fields are ignored.
type chunkedBody struct {
	maxBytes     int // bound of the decoded body
	body         []byte
	state        chunkState
	left         int // bytes of the current chunk that have not arrived
	framingBytes int
}

// decode decodes the bytes that have arrived, and returns those that it does not take yet or that follow the body.
func (c *chunkedBody) decode(encoded []byte) (rest []byte, err error) {
	for c.state != chunksComplete {
		before := len(encoded)
		if c.state == chunkData {
			encoded = c.takeData(encoded)
		} else if encoded, err = c.takeLine(encoded); err != nil {
			return nil, err
		}
		if len(encoded) == before {
			return encoded, nil
		}
	}
	return encoded, nil
}

func (c *chunkedBody) takeData(encoded []byte) []byte {
	count := min(c.left, len(encoded))
	c.body = append(c.body, encoded[:count]...)
	c.left -= count
	if c.left == 0 {
		c.state = chunkDataEnd
	}
	return encoded[count:]
}

// takeLine takes a line if it has arrived completely.
func (c *chunkedBody) takeLine(encoded []byte) ([]byte, error) {
	end := bytes.Index(encoded, []byte(lineEnd))
	if end > maxChunkLineBytes || end < 0 && len(encoded) > maxChunkLineBytes {
		return nil, newProtocolError(http.StatusBadRequest, "line of a chunked body too long")
	}
	if end < 0 {
		return encoded, nil
	}
	c.framingBytes += end + len(lineEnd)
	if c.framingBytes > maxChunkFramingBytes {
		return nil, newProtocolError(http.StatusRequestEntityTooLarge, "too many chunks")
	}
	return encoded[end+len(lineEnd):], c.handleLine(string(encoded[:end]))
}

func (c *chunkedBody) handleLine(line string) error {
	switch c.state {
	case chunkSizeLine:
		return c.beginChunk(line)
	case chunkDataEnd:
		if line != "" {
			return newProtocolError(http.StatusBadRequest, "chunk longer than its size")
		}
		c.state = chunkSizeLine
	case chunkTrailer:
		if line == "" {
			c.state = chunksComplete
		}
	}
	return nil
}

// beginChunk reads the size of a chunk. The last chunk has the size 0.
func (c *chunkedBody) beginChunk(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	digits = strings.TrimRight(digits, " \t")
	size, err := strconv.ParseUint(digits, hexadecimal, chunkSizeBits)
	if err != nil {
		return newProtocolError(http.StatusBadRequest, "bad chunk size")
	}
	if size > uint64(c.maxBytes-len(c.body)) {
		return newProtocolError(http.StatusRequestEntityTooLarge, "body too large")
	}
	c.left = int(size)
	c.state = chunkData
	if size == 0 {
		c.state = chunkTrailer
	}
	return nil
}
