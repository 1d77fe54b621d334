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

// latencyTable keeps how long this controller took to answer, by kind of request.
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
	// The only error is a value out of range, which the bounds exclude.
	_ = histogram.RecordValue(min(max(duration.Milliseconds(), minLatencyMillis), maxLatencyMillis))
}

// rows lists the table by kind of request.
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

// recordLatency records how long a request took to be answered. kind groups requests, see requestKind.
func (c *Controller) recordLatency(kind string, duration time.Duration) {
	c.latencies.record(kind, duration)
}
