package kvserver

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
	"strconv"
	"strings"
)

// Names of the files in a store's directory. A snapshot has the number of the segment that continues the log after it.
const (
	lockFileName     = "lock"
	segmentPrefix    = "log-"
	snapshotPrefix   = "snapshot-"
	tempSuffix       = ".tmp" // of an incomplete snapshot
	fileNumberDigits = 16
)

// The log is a sequence of segments. A segment is a header followed by frames. Each frame is written and synced separately. The responses
// of a frame are sent, and the next frame is written, only after the sync. So a valid frame after a torn one means that durable data
// was damaged.
//
// A segment's header has the number of its first frame. A recovery ignores frames of the previous segment with that number or a higher
// one. The log uses this to continue after a failed sync, when it is uncertain whether the last frame is durable.
const (
	frameMagic       = 0x67756c6c
	frameHeaderBytes = 4 + 4 + 8 + 4 // magic number, length of the payload, frame number, checksum
	maxFrameBytes    = 64 << 20

	segmentMagic       = "gullLOG1"
	segmentHeaderBytes = 8 + 8 + 8 + 8 + checksumBytes // magic number, segment, first frame, revision, checksum

	checksumBytes = 4
	magicBytes    = 8 // of a segment or snapshot
)

// castagnoliTable is the table of the CRC-32C checksum, which processors compute in hardware.
var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(b []byte) uint32 { return crc32.Checksum(b, castagnoliTable) }

// hasChecksum reports whether the last bytes of a header are the checksum of the rest.
func hasChecksum(header []byte) bool {
	covered := len(header) - checksumBytes
	return checksum(header[:covered]) == binary.LittleEndian.Uint32(header[covered:])
}

func segmentName(segment uint64) string {
	return fmt.Sprintf("%s%0*d", segmentPrefix, fileNumberDigits, segment)
}

func snapshotName(segment uint64) string {
	return fmt.Sprintf("%s%0*d", snapshotPrefix, fileNumberDigits, segment)
}

// parseFileNumber parses the number in a file's name. The second result is false if the name does not have the prefix and a number.
func parseFileNumber(name, prefix string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != fileNumberDigits {
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
	sum := crc32.Update(checksum(out[covered:]), castagnoliTable, payload)
	out = binary.LittleEndian.AppendUint32(out, sum)
	return append(out, payload...)
}

// parseFrame parses the frame at the start of b; rest is what follows it. ok is false if there is no valid frame.
func parseFrame(b []byte) (number uint64, payload, rest []byte, ok bool) {
	if len(b) < frameHeaderBytes || binary.LittleEndian.Uint32(b) != frameMagic {
		return 0, nil, nil, false
	}
	length := int(binary.LittleEndian.Uint32(b[4:]))
	if length > maxFrameBytes || len(b) < frameHeaderBytes+length {
		return 0, nil, nil, false
	}
	payload, rest = b[frameHeaderBytes:frameHeaderBytes+length], b[frameHeaderBytes+length:]
	if crc32.Update(checksum(b[4:16]), castagnoliTable, payload) != binary.LittleEndian.Uint32(b[16:]) {
		return 0, nil, nil, false
	}
	return binary.LittleEndian.Uint64(b[8:]), payload, rest, true
}

// segmentHeader is the header of a segment: its number, the number of its first frame, and the store's revision at its creation.
type segmentHeader struct {
	segment, firstFrame, revision uint64
}

func (h segmentHeader) encode() []byte {
	return encodeHeader(segmentMagic, h.segment, h.firstFrame, h.revision)
}

// encodeHeader returns the header of a segment or snapshot: a magic number, the given numbers, and the checksum of both.
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

// headerNumber returns the number at an index of the header of a segment or snapshot.
func headerNumber(b []byte, index int) uint64 {
	return binary.LittleEndian.Uint64(b[magicBytes+8*index:])
}
