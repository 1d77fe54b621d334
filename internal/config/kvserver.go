package config

import (
	"fmt"
	"os"
	"time"
)

// KVServerOptions are the operators' settings of a state service. docs/operations/state.md describes them.
type KVServerOptions struct {
	RequestRate         float64       // requests per second; 0: no limit
	WriteRate           float64       // writes and deletes per second; 0: no limit
	MaxValueBytes       int           // JSON bytes
	MaxTransactionOps   int           // operations in a transaction
	MaxConnections      int           // open connections
	MaxWatches          int           // open watches
	SnapshotMinLogBytes int64         // a snapshot is written once the log has more bytes than this,
	SnapshotLogRatio    float64       // and more than this multiple of the last snapshot's size
	DiskRetryInterval   time.Duration // wait after a failed write before the disk is tried again
}

// DefaultKVServerOptions returns the values of the settings that the file does not set.
func DefaultKVServerOptions() KVServerOptions {
	return KVServerOptions{
		MaxValueBytes: 64 << 10, MaxTransactionOps: 128, MaxConnections: 1024, MaxWatches: 4096,
		SnapshotMinLogBytes: 1 << 20, SnapshotLogRatio: 0.5, DiskRetryInterval: time.Second,
	}
}

// LoadKVServerOptions reads the operators' file of a state service. An empty path means the defaults; an invalid line is a LineError.
func LoadKVServerOptions(path string) (KVServerOptions, error) {
	s := DefaultKVServerOptions()
	if path == "" {
		return s, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return KVServerOptions{}, fmt.Errorf("options: %w", err)
	}
	return parseKVServerOptions(raw)
}

// parseKVServerOptions reads <state><rps>200</rps>…</state>. An invalid line is a LineError.
func parseKVServerOptions(raw []byte) (KVServerOptions, error) {
	s := DefaultKVServerOptions()
	valueKB, snapshotKB := float64(s.MaxValueBytes)/bytesPerKB, float64(s.SnapshotMinLogBytes)/bytesPerKB
	err := parseElements(raw, "state", map[string]optionField{
		"rps":            numberField(0, 1e6, &s.RequestRate),
		"write-rps":      numberField(0, 1e6, &s.WriteRate),
		"value-kb":       numberField(1, 64, &valueKB),
		"txn-ops":        countField(1, 1000, &s.MaxTransactionOps),
		"connections":    countField(4, 10_000, &s.MaxConnections),
		"watches":        countField(1, 100_000, &s.MaxWatches),
		"snapshot-kb":    numberField(1, 1<<20, &snapshotKB),
		"snapshot-share": numberField(0, 100, &s.SnapshotLogRatio),
		"retry-after":    durationField(10*time.Millisecond, time.Minute, &s.DiskRetryInterval),
	})
	if err != nil {
		return KVServerOptions{}, err
	}
	s.MaxValueBytes, s.SnapshotMinLogBytes = int(valueKB*bytesPerKB), int64(snapshotKB*bytesPerKB)
	return s, nil
}
