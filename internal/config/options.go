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
	PlanningInterval    time.Duration // length of a planning step
	SubmissionWindow    time.Duration // span over which a team's share is counted
	SubmissionShare     float64       // share of the fleet that a team may submit per lease, best effort beyond it
	StartBound          time.Duration // a job of which nothing has begun after this begins ahead of others; 0: none does
	AgeBound            time.Duration // a best-effort job older than this goes before younger ones
	LatenessStep        time.Duration // lateness that costs a job one payoff step
	IdleTimeout         time.Duration // an idle machine is returned after this
	ScaleOutBacklog     time.Duration // work that lasts a third of this justifies a machine of the cheapest kind
	CostWeight          float64       // how much more money weighs against fewer missed aims
	LeaderLeaseDuration time.Duration // life of the leader's key without renewal
	GrantDuration       time.Duration // length of a promise between controllers
	AgedShare           float64       // share of the fleet that is kept for what has waited past the age bound
	// EstimateError is how many times its estimate work is taken to need at most, where a
	// bound on waiting is stated.
	EstimateError     float64
	FairShareWindow   time.Duration // over which counts what was done of each class and team
	MinServedShare    float64       // share of the jobs of each class and team that is to be done
	FairShareCapacity float64       // share of the fleet that classes and teams below that may have ahead of others
	OverdueShare      float64       // share of the fleet for jobs that can keep none of their aims any more
	ArchiveDelay      time.Duration // how long a finished job stays in the live pages
	MinSegmentJobs    int           // finished jobs that are worth a sealed run
	CompactionFanIn   int           // sealed runs that are merged into one
}

// DefaultOptions are used where the file says nothing.
func DefaultOptions() Options {
	return Options{
		PlanningInterval: 15 * time.Second, SubmissionWindow: 15 * time.Second, SubmissionShare: 4,
		StartBound: 150 * time.Second, AgeBound: 420 * time.Second, LatenessStep: 30 * time.Second,
		IdleTimeout: 12 * time.Second, ScaleOutBacklog: 150 * time.Second,
		CostWeight:          0.4,
		LeaderLeaseDuration: 1200 * time.Millisecond, GrantDuration: 1200 * time.Millisecond,
		AgedShare: 0.05, EstimateError: 2,
		FairShareWindow: 10 * time.Minute, MinServedShare: 0.7, FairShareCapacity: 0.4, OverdueShare: 0.1,
		ArchiveDelay: time.Minute, MinSegmentJobs: 128, CompactionFanIn: 8,
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

func durationField(low, high time.Duration, target *time.Duration) optionField {
	return optionField{
		low.Seconds(),
		high.Seconds(),
		func() float64 { return target.Seconds() },
		func(v float64) { *target = DurationFromSeconds(v) },
	}
}

func numberField(low, high float64, target *float64) optionField {
	return optionField{low, high, func() float64 { return *target }, func(v float64) { *target = v }}
}

func countField(low, high int, target *int) optionField {
	return optionField{float64(low), float64(high), func() float64 { return float64(*target) }, func(v float64) { *target = int(v) }}
}

// optionFields are the options by the names of their elements.
func (o *Options) optionFields() map[string]optionField {
	return map[string]optionField{
		"term":           durationField(time.Second, time.Hour, &o.PlanningInterval),
		"submit-lease":   durationField(time.Second, time.Hour, &o.SubmissionWindow),
		"team-share":     numberField(0.01, 1000, &o.SubmissionShare),
		"begin-bound":    durationField(0, 24*time.Hour, &o.StartBound),
		"age-bound":      durationField(time.Second, 24*time.Hour, &o.AgeBound),
		"payoff-step":    durationField(time.Second, time.Hour, &o.LatenessStep),
		"idle-after":     durationField(time.Second, time.Hour, &o.IdleTimeout),
		"backlog":        durationField(time.Second, time.Hour, &o.ScaleOutBacklog),
		"thrift":         numberField(0, 1000, &o.CostWeight),
		"leader-lease":   durationField(time.Second, time.Minute, &o.LeaderLeaseDuration),
		"promise":        durationField(time.Second, time.Minute, &o.GrantDuration),
		"aged-share":     numberField(0, 0.9, &o.AgedShare),
		"estimate-error": numberField(1, 100, &o.EstimateError),
		"floor-window":   durationField(10*time.Second, 24*time.Hour, &o.FairShareWindow),
		"floor-least":    numberField(0, 1, &o.MinServedShare),
		"floor-share":    numberField(0, 0.9, &o.FairShareCapacity),
		"late-share":     numberField(0, 0.9, &o.OverdueShare),
		"seal-after":     durationField(0, 24*time.Hour, &o.ArchiveDelay),
		"seal-jobs":      countField(1, 100_000, &o.MinSegmentJobs),
		"merge-runs":     countField(2, 32, &o.CompactionFanIn),
	}
}

// OptionValue is an option as it is shown; spans are in seconds.
type OptionValue struct {
	Name  string  `msgpack:"name" json:"name"`
	Value float64 `msgpack:"value" json:"value"`
}

// Values lists all options by name.
func (o Options) Values() []OptionValue {
	fields := o.optionFields()
	var list []OptionValue
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		list = append(list, OptionValue{name, fields[name].get()})
	}
	return list
}

// DescribeChanges says in words what is another value in the other options.
func (o Options) DescribeChanges(other Options) []string {
	var list []string
	otherValues := other.Values()
	for i, v := range o.Values() {
		if v.Value != otherValues[i].Value {
			list = append(list, fmt.Sprintf("%s %g -> %g", v.Name, v.Value, otherValues[i].Value))
		}
	}
	return list
}

// ParseOptions reads <gullrudder><term>15</term>…</gullrudder>.
func ParseOptions(raw []byte) (Options, error) {
	o := DefaultOptions()
	if err := parseElements(raw, "gullrudder", o.optionFields()); err != nil {
		return Options{}, err
	}
	return o, nil
}

// parseElements reads a root element with one element for each option. Spans are in seconds or
// in Go's form (90s, 2m). What is unknown, repeated or out of range is refused with its line.
func parseElements(raw []byte, rootName string, fields map[string]optionField) error {
	seen := map[string]bool{}
	decoder := xml.NewDecoder(bytes.NewReader(raw))
	depth, name, text, sawRoot := 0, "", "", false
	for {
		token, err := decoder.Token()
		line, _ := decoder.InputPos()
		if errors.Is(err, io.EOF) {
			if !sawRoot {
				return fmt.Errorf("options: line 1: no <%s> element", rootName)
			}
			return nil
		}
		if err != nil {
			return fmt.Errorf("options: line %d: %w", line, err)
		}
		switch element := token.(type) {
		case xml.StartElement:
			depth++
			if len(element.Attr) > 0 {
				return fmt.Errorf("options: line %d: attribute %s is unknown", line, element.Attr[0].Name.Local)
			}
			if depth == 1 && element.Name.Local == rootName {
				sawRoot = true
				continue
			}
			name, text = element.Name.Local, ""
			if _, ok := fields[name]; !ok || depth != 2 {
				return fmt.Errorf("options: line %d: element <%s> is unknown here", line, name)
			}
			if seen[name] {
				return fmt.Errorf("options: line %d: <%s> is there twice", line, name)
			}
			seen[name] = true
		case xml.CharData:
			text += string(element)
			if depth < 2 && strings.TrimSpace(string(element)) != "" {
				return fmt.Errorf("options: line %d: text outside an element", line)
			}
		case xml.EndElement:
			depth--
			if depth != 1 {
				continue
			}
			value, err := parseAmount(strings.TrimSpace(text))
			if err != nil {
				return fmt.Errorf("options: line %d: <%s>: %w", line, name, err)
			}
			field := fields[name]
			if !(value >= field.low && value <= field.high) {
				return fmt.Errorf("options: line %d: <%s>: %g is not between %g and %g", line, name, value, field.low, field.high)
			}
			field.set(value)
		}
	}
}

func parseAmount(s string) (float64, error) {
	if v, err := strconv.ParseFloat(s, 64); err == nil {
		return v, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0, fmt.Errorf("%q is neither a number nor a span of time", s)
	}
	return d.Seconds(), nil
}
