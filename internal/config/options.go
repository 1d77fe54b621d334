package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Options are the operators' own settings. docs/operations/controllers.md describes each.
type Options struct {
	Term        time.Duration // length of a planning step
	SubmitLease time.Duration // span over which a team's share is counted
	TeamShare   float64       // share of the fleet that a team may submit per lease, best effort beyond it
	BeginBound  time.Duration // a job of which nothing has begun after this begins ahead of others; 0: none does
	AgeBound    time.Duration // a best-effort job older than this goes before younger ones
	PayoffStep  time.Duration // lateness that costs a job one payoff step
	IdleAfter   time.Duration // an idle machine is returned after this
	Backlog     time.Duration // work that lasts a third of this justifies a machine of the cheapest kind
	Thrift      float64       // how much more money weighs against fewer missed aims
	LeaderLease time.Duration // life of the leader's key without renewal
	Promise     time.Duration // length of a promise between controllers
	AgedShare   float64       // share of the fleet that is kept for what has waited past the age bound
	// EstimateError is how many times its estimate work is taken to need at most, where a
	// bound on waiting is stated.
	EstimateError float64
	FloorWindow   time.Duration // over which counts what was done of each class and team
	FloorLeast    float64       // share of the jobs of each class and team that is to be done
	FloorShare    float64       // share of the fleet that classes and teams below that may have ahead of others
	LateShare     float64       // share of the fleet for jobs that can keep none of their aims any more
	SealAfter     time.Duration // how long a finished job stays in the live pages
	SealJobs      int           // finished jobs that are worth a sealed run
	MergeRuns     int           // sealed runs that are merged into one
}

// DefaultOptions are used where the file says nothing.
func DefaultOptions() Options {
	return Options{
		Term: 15 * time.Second, SubmitLease: 15 * time.Second, TeamShare: 4,
		BeginBound: 150 * time.Second, AgeBound: 420 * time.Second, PayoffStep: 30 * time.Second,
		IdleAfter: 12 * time.Second, Backlog: 150 * time.Second,
		Thrift:      0.4,
		LeaderLease: 1200 * time.Millisecond, Promise: 1200 * time.Millisecond,
		AgedShare: 0.05, EstimateError: 2,
		FloorWindow: 10 * time.Minute, FloorLeast: 0.7, FloorShare: 0.4, LateShare: 0.1,
		SealAfter: time.Minute, SealJobs: 128, MergeRuns: 8,
	}
}

// LoadOptions reads the operators' file; no path means the defaults.
func LoadOptions(path string) (Options, error) {
	if path == "" {
		return DefaultOptions(), nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return Options{}, fmt.Errorf("options: %w", err)
	}
	return ParseOptions(raw)
}

type optionField struct {
	low, high float64
	get       func() float64
	set       func(v float64)
}

func durationField(low, high time.Duration, at *time.Duration) optionField {
	return optionField{low.Seconds(), high.Seconds(), func() float64 { return at.Seconds() }, func(v float64) { *at = Seconds(v) }}
}

func numberField(low, high float64, at *float64) optionField {
	return optionField{low, high, func() float64 { return *at }, func(v float64) { *at = v }}
}

func countField(low, high int, at *int) optionField {
	return optionField{float64(low), float64(high), func() float64 { return float64(*at) }, func(v float64) { *at = int(v) }}
}

// fields are the options by the names of their elements.
func (o *Options) fields() map[string]optionField {
	return map[string]optionField{
		"term":           durationField(time.Second, time.Hour, &o.Term),
		"submit-lease":   durationField(time.Second, time.Hour, &o.SubmitLease),
		"team-share":     numberField(0.01, 1000, &o.TeamShare),
		"begin-bound":    durationField(0, 24*time.Hour, &o.BeginBound),
		"age-bound":      durationField(time.Second, 24*time.Hour, &o.AgeBound),
		"payoff-step":    durationField(time.Second, time.Hour, &o.PayoffStep),
		"idle-after":     durationField(time.Second, time.Hour, &o.IdleAfter),
		"backlog":        durationField(time.Second, time.Hour, &o.Backlog),
		"thrift":         numberField(0, 1000, &o.Thrift),
		"leader-lease":   durationField(time.Second, time.Minute, &o.LeaderLease),
		"promise":        durationField(time.Second, time.Minute, &o.Promise),
		"aged-share":     numberField(0, 0.9, &o.AgedShare),
		"estimate-error": numberField(1, 100, &o.EstimateError),
		"floor-window":   durationField(10*time.Second, 24*time.Hour, &o.FloorWindow),
		"floor-least":    numberField(0, 1, &o.FloorLeast),
		"floor-share":    numberField(0, 0.9, &o.FloorShare),
		"late-share":     numberField(0, 0.9, &o.LateShare),
		"seal-after":     durationField(0, 24*time.Hour, &o.SealAfter),
		"seal-jobs":      countField(1, 100_000, &o.SealJobs),
		"merge-runs":     countField(2, 32, &o.MergeRuns),
	}
}

// Value is an option as it is shown; spans are in seconds.
type Value struct {
	Name  string  `msgpack:"name" json:"name"`
	Value float64 `msgpack:"value" json:"value"`
}

// Values lists all options by name.
func (o Options) Values() []Value {
	fields := o.fields()
	var list []Value
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		list = append(list, Value{name, fields[name].get()})
	}
	return list
}

// Changes says in words what is another value in the other options.
func (o Options) Changes(other Options) []string {
	var list []string
	then := other.Values()
	for i, v := range o.Values() {
		if v.Value != then[i].Value {
			list = append(list, fmt.Sprintf("%s %g -> %g", v.Name, v.Value, then[i].Value))
		}
	}
	return list
}

// ParseOptions reads <gullrudder><term>15</term>…</gullrudder>.
func ParseOptions(raw []byte) (Options, error) {
	o := DefaultOptions()
	if err := parseElements(raw, "gullrudder", o.fields()); err != nil {
		return Options{}, err
	}
	return o, nil
}

// parseElements reads a root element with one element for each option. Spans are in seconds or
// in Go's form (90s, 2m). What is unknown, repeated or out of range is refused with its line.
func parseElements(raw []byte, rootName string, fields map[string]optionField) error {
	seen := map[string]bool{}
	dec := xml.NewDecoder(bytes.NewReader(raw))
	depth, name, text, root := 0, "", "", false
	for {
		tok, err := dec.Token()
		line, _ := dec.InputPos()
		if errors.Is(err, io.EOF) {
			if !root {
				return fmt.Errorf("options: line 1: no <%s> element", rootName)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("options: line %d: %w", line, err)
		}
		switch t := tok.(type) {
		case xml.StartElement:
			depth++
			if len(t.Attr) > 0 {
				return fmt.Errorf("options: line %d: attribute %s is unknown", line, t.Attr[0].Name.Local)
			}
			if depth == 1 && t.Name.Local == rootName {
				root = true
				continue
			}
			name, text = t.Name.Local, ""
			if _, ok := fields[name]; !ok || depth != 2 {
				return fmt.Errorf("options: line %d: element <%s> is unknown here", line, name)
			}
			if seen[name] {
				return fmt.Errorf("options: line %d: <%s> is there twice", line, name)
			}
			seen[name] = true
		case xml.CharData:
			text += string(t)
			if depth < 2 && strings.TrimSpace(string(t)) != "" {
				return fmt.Errorf("options: line %d: text outside an element", line)
			}
		case xml.EndElement:
			depth--
			if depth != 1 {
				continue
			}
			v, err := amount(strings.TrimSpace(text))
			if err != nil {
				return fmt.Errorf("options: line %d: <%s>: %w", line, name, err)
			}
			f := fields[name]
			if !(v >= f.low && v <= f.high) {
				return fmt.Errorf("options: line %d: <%s>: %g is not between %g and %g", line, name, v, f.low, f.high)
			}
			f.set(v)
		}
	}
}

func amount(s string) (float64, error) {
	if v, err := strconv.ParseFloat(s, 64); err == nil {
		return v, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, fmt.Errorf("%q is neither a number nor a span of time", s)
	}
	return d.Seconds(), nil
}
