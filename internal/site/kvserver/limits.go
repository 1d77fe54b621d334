package kvserver

import "time"

// Limits of the protocol. The configurable ones are in config.KVServerOptions.
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
	// maxQueryCount is the largest number of entries that a list request may ask for. A response has at most maxListedKeys.
	maxQueryCount = 1 << 32
	// maxJSONBytesPerByte is the largest size in JSON of one byte of a body: a control character is escaped with six bytes.
	maxJSONBytesPerByte = 6
	// listedEntryOverheadBytes is the size of a listed entry in JSON without its key and value.
	listedEntryOverheadBytes = 64
	// limitRetryAfter is the Retry-After of requests that are refused because of a limit, a full queue or a failing disk.
	limitRetryAfter = time.Second
)

const (
	leaseRenewalSuffix = "/touch"
	// notDurableMessage is the error text of responses to changes while the log cannot be written.
	notDurableMessage = "changes cannot be kept"
)
