package config

import (
	"fmt"
	"os"
	"time"
)

// Store are the operators' settings of a state service. docs/operations/state.md describes each.
type Store struct {
	Rate          float64       // requests a second; 0: no limit
	WriteRate     float64       // puts and deletes a second; 0: no limit
	ValueBytes    int           // JSON bytes of a value
	TxnOps        int           // changes of a transaction
	Connections   int           // open connections
	Watches       int           // open watches
	SnapshotLeast int64         // bytes of log that are worth a snapshot
	SnapshotShare float64       // and their share of the last snapshot's size
	RetryAfter    time.Duration // how long after a failure the disk is tried again
}

// DefaultStore is used where the file says nothing.
func DefaultStore() Store {
	return Store{ValueBytes: 64 << 10, TxnOps: 128, Connections: 1024, Watches: 4096,
		SnapshotLeast: 1 << 20, SnapshotShare: 0.5, RetryAfter: time.Second}
}

// LoadStore reads the operators' file of a state service; no path means the defaults.
func LoadStore(path string) (Store, error) {
	s := DefaultStore()
	if path == "" {
		return s, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Store{}, fmt.Errorf("options: %w", err)
	}
	return ParseStore(raw)
}

// ParseStore reads <state><rps>200</rps>…</state>.
func ParseStore(raw []byte) (Store, error) {
	s := DefaultStore()
	err := parseElements(raw, "state", map[string]optionField{
		"rps":            numberField(0, 1e6, &s.Rate),
		"write-rps":      numberField(0, 1e6, &s.WriteRate),
		"value-kb":       {1, 64, func() float64 { return float64(s.ValueBytes) / 1024 }, func(v float64) { s.ValueBytes = int(v * 1024) }},
		"txn-ops":        countField(1, 1000, &s.TxnOps),
		"connections":    countField(4, 10_000, &s.Connections),
		"watches":        countField(1, 100_000, &s.Watches),
		"snapshot-kb":    {1, 1 << 20, func() float64 { return float64(s.SnapshotLeast) / 1024 }, func(v float64) { s.SnapshotLeast = int64(v * 1024) }},
		"snapshot-share": numberField(0, 100, &s.SnapshotShare),
		"retry-after":    durationField(10*time.Millisecond, time.Minute, &s.RetryAfter),
	})
	if err != nil {
		return Store{}, err
	}
	return s, nil
}
