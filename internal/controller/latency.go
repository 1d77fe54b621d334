package controller

import (
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minLatencyMillis         = 1
	maxLatencyMillis         = 60_000
	latencySignificantDigits = 2 // significant digits that the histograms keep
)

// Latency is a row of the latency table: the response times of one kind of request, in milliseconds.
type Latency struct {
	Kind  string `msgpack:"kind" json:"kind"`
	Count int64  `msgpack:"count" json:"count"` // responses sent since the process started
	P50   int64  `msgpack:"p50_ms" json:"p50_ms"`
	P99   int64  `msgpack:"p99_ms" json:"p99_ms"`
	Max   int64  `msgpack:"max_ms" json:"max_ms"`
}

// latencyTable has a histogram of the response times of this controller for each kind of request (see requestKind).
type latencyTable struct {
	byRequestKind map[string]*hdrhistogram.Histogram
}

func newLatencyTable() *latencyTable { return &latencyTable{map[string]*hdrhistogram.Histogram{}} }

func (t *latencyTable) record(kind string, duration time.Duration) {
	histogram := t.byRequestKind[kind]
	if histogram == nil {
		histogram = hdrhistogram.New(minLatencyMillis, maxLatencyMillis, latencySignificantDigits)
		t.byRequestKind[kind] = histogram
	}
	// RecordValue fails only for a value out of range.
	_ = histogram.RecordValue(min(max(duration.Milliseconds(), minLatencyMillis), maxLatencyMillis))
}

// rows returns the rows of the table, sorted by kind of request.
func (t *latencyTable) rows() []Latency {
	var rows []Latency
	for _, kind := range slices.Sorted(maps.Keys(t.byRequestKind)) {
		histogram := t.byRequestKind[kind]
		rows = append(rows, Latency{
			Kind:  kind,
			Count: histogram.TotalCount(),
			P50:   histogram.ValueAtQuantile(50),
			P99:   histogram.ValueAtQuantile(99),
			Max:   histogram.Max(),
		})
	}
	return rows
}

// recordLatency records the response time of a request. kind is the result of requestKind.
func (c *Controller) recordLatency(kind string, duration time.Duration) {
	c.latencies.record(kind, duration)
}
