package kvserver

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Names of the files in a store's directory. A segment and the snapshot that comes before it have the same number.
const (
	lockFileName   = "lock"
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp" // of a snapshot that is not whole yet
	fileDigits     = 16
)

// The log is a row of segments. A segment begins with a header and goes on with frames, each of which was one write and one sync:
// what a frame holds is answered only after that, and the next frame is written only after that too. So behind a torn frame there is
// never a whole one, unless something that was durable has been damaged since.
//
// A segment's header says with which frame it begins. Whatever the segment before it holds from there on does not count: that is how
// the log goes on after a sync that failed, of which nobody knows what it has made durable.
const (
	frameMagic       = 0x67756c6c
	frameHeaderBytes = 4 + 4 + 8 + 4 // magic, length of the payload, number, checksum
	maxFrameBytes    = 64 << 20

	segmentMagic       = "gullLOG1"
	segmentHeaderBytes = 8 + 8 + 8 + 8 + checksumBytes // magic, segment, first frame, revision, checksum

	checksumBytes = 4
	magicBytes    = 8 // of a segment or snapshot
)

// castagnoli is the table of CRC-32C, for which processors have an instruction.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoli) }

// hasChecksum reports whether the last bytes of a header are the checksum of the rest.
func hasChecksum(header []byte) bool {
	covered := len(header) - checksumBytes
	return checksum(header[:covered]) == binary.LittleEndian.Uint32(header[covered:])
}

func segmentName(segment uint64) string {
	return fmt.Sprintf("%s%0*d", segmentPrefix, fileDigits, segment)
}

func snapshotName(segment uint64) string {
	return fmt.Sprintf("%s%0*d", snapshotPrefix, fileDigits, segment)
}

// parseFileNumber reads the number in a file's name.
func parseFileNumber(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != fileDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// appendFrame encodes a frame. Its checksum covers the length, the number and the payload.
func appendFrame(out []byte, number uint64, payload []byte) []byte {
	out = binary.LittleEndian.AppendUint32(out, frameMagic)
	covered := len(out)
	out = binary.LittleEndian.AppendUint32(out, uint32(len(payload)))
	out = binary.LittleEndian.AppendUint64(out, number)
	sum := crc32.Update(checksum(out[covered:]), castagnoli, payload)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(out, payload...)
}

// cutFrame reads the frame at the start of b; ok is false if there is no whole one.
func cutFrame(b []byte) (number uint64, payload, rest []byte, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, nil, false
	}
	length := int(binary.LittleEndian.Uint32(b[4:]))
	if length > maxFrameBytes || len(b) < frameHeaderBytes+length {
		return 0, nil, nil, false
	}
	payload, rest = b[frameHeaderBytes:frameHeaderBytes+length], b[frameHeaderBytes+length:]
	if crc32.Update(checksum(b[4:16]), castagnoli, payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, nil, false
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, rest, true
}

// segmentHeader is the head of a segment: its number, the number of its first frame, and the revision at which it was begun.
type segmentHeader struct {
	segment, firstFrame, revision uint64
}

func (h segmentHeader) encode() []byte {
	return encodeHeader(segmentMagic, h.segment, h.firstFrame, h.revision)
}

// encodeHeader is the head of a segment or snapshot: a magic, numbers, and their checksum.
func encodeHeader(magic string, numbers ...uint64) []byte {
	out := append([]byte(nil), magic...)
	for _, number := range numbers {
		out = binary.LittleEndian.AppendUint64(out, number)
	}
	return binary.LittleEndian.AppendUint32(out, checksum(out))
}

func parseSegmentHeader(b []byte) (segmentHeader, bool) {
	if len(b) < segmentHeaderBytes || string(b[:magicBytes]) != segmentMagic || !hasChecksum(b[:segmentHeaderBytes]) {
		return segmentHeader{}, false
	}
	return segmentHeader{headerNumber(b, 0), headerNumber(b, 1), headerNumber(b, 2)}, true
}

// headerNumber is the number at a place of the head of a segment or snapshot.
func headerNumber(b []byte, index int) uint64 {
	return binary.LittleEndian.Uint64(b[magicBytes+8*index:])
}
