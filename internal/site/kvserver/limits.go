package kvserver

import "time"

// Limits of the protocol. Those that operators set are in config.KVServer.
const (
	maxKeyBytes           = 200
	maxListedKeys         = 1000
	maxListBytes          = 512 << 10
	maxWatchWait          = 60 * time.Second
	minLeaseTTL           = 100 * time.Millisecond
	maxLeaseTTL           = 600 * time.Second
	maxLeases             = 10_000
	maxTransactionBytes   = 64 << 10
	maxPreconditionsPerOp = 4
	// maxQueryCount is the largest number of entries that a list may be asked for; it gets maxListedKeys at most.
	maxQueryCount = 1 << 32
	// maxJSONBytesPerByte is how many bytes of JSON a byte of a body can become: a control character is written as six.
	maxJSONBytesPerByte = 6
	// listedEntryOverheadBytes is what a listed entry takes in JSON besides its key and value.
	listedEntryOverheadBytes = 64
	// limitRetryAfter is after how long a request may be tried again that a limit or a failing disk has refused.
	limitRetryAfter = time.Second
)

const (
	touchSuffix = "/touch"
	// notDurable is the reason for the refusal of changes while the log takes none.
	notDurable = "changes cannot be kept"
)
