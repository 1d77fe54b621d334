package config

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"
)

// Options are the operators' own settings of the controllers. Shares are fractions of the cluster's capacity, unless stated
// otherwise. docs/operations/controllers.md describes each option.
type Options struct {
	// PlanningInterval is the length of the intervals into which an admission plan divides the time until the deadlines.
	PlanningInterval time.Duration

	SubmissionOptions
	QueueOptions
	AutoscalerOptions
	ElectionOptions
	FairShareOptions
	ArchiveOptions
}

// SubmissionOptions limit the work that a team may submit with a guarantee. Jobs beyond the limit are best effort.
type SubmissionOptions struct {
	SubmissionWindow time.Duration // time over which a team's submissions are counted
	SubmissionShare  float64       // work that a team may submit in the window, as a multiple of the cluster's capacity
}

// QueueOptions determine the order of waiting jobs.
type QueueOptions struct {
	StartBound   time.Duration // a job that waited this long for its first start goes ahead of others; 0: never
	AgeBound     time.Duration // a best-effort job older than this goes ahead of younger ones
	AgedShare    float64       // reserved for jobs past the age bound
	LatenessStep time.Duration // has no effect; kept so that files that set it stay valid
	// EstimateError is the factor by which a task may exceed its estimate in the calculation of a wait bound.
	EstimateError float64
}

// AutoscalerOptions determine when instances are requested and terminated.
type AutoscalerOptions struct {
	IdleTimeout     time.Duration // a machine that is idle for this long is terminated
	ScaleOutBacklog time.Duration // waiting work that lasts a third of this justifies an instance of the cheapest kind
	CostWeight      float64       // weight of cost relative to missed objectives
}

// ElectionOptions configure the leader election. They are read only when a controller starts, and must be the
// same on all controllers.
type ElectionOptions struct {
	LeaderLeaseDuration time.Duration // time to live of the leader's key
	GrantDuration       time.Duration // validity of a leader-lease grant between controllers
}

// FairShareOptions configure fair sharing between classes and teams.
type FairShareOptions struct {
	FairShareWindow   time.Duration // time constant with which the counts of done jobs decay
	MinServedShare    float64       // share of the jobs of each class and team that is to be done
	FairShareCapacity float64       // capacity that classes and teams below MinServedShare may get ahead of others
	OverdueShare      float64       // capacity for jobs that can no longer meet any of their objectives
}

// ArchiveOptions configure the archive of finished jobs.
type ArchiveOptions struct {
	ArchiveDelay    time.Duration // how long a finished job stays in the live pages
	MinSegmentJobs  int           // least number of finished jobs for which a segment is written
	CompactionFanIn int           // number of segments that are compacted into one
}

// DefaultOptions returns the values of the options that the file does not set.
func DefaultOptions() Options {
	return Options{
		PlanningInterval:  15 * time.Second,
		SubmissionOptions: SubmissionOptions{SubmissionWindow: 15 * time.Second, SubmissionShare: 4},
		QueueOptions: QueueOptions{
			StartBound: 150 * time.Second, AgeBound: 420 * time.Second, AgedShare: 0.05, LatenessStep: 30 * time.Second, EstimateError: 2,
		},
		AutoscalerOptions: AutoscalerOptions{IdleTimeout: 12 * time.Second, ScaleOutBacklog: 150 * time.Second, CostWeight: 0.4},
		ElectionOptions:   ElectionOptions{LeaderLeaseDuration: 1200 * time.Millisecond, GrantDuration: 1200 * time.Millisecond},
		FairShareOptions: FairShareOptions{
			FairShareWindow: 10 * time.Minute, MinServedShare: 0.7, FairShareCapacity: 0.4, OverdueShare: 0.1,
		},
		ArchiveOptions: ArchiveOptions{ArchiveDelay: time.Minute, MinSegmentJobs: 128, CompactionFanIn: 8},
	}
}

// LoadOptions reads the operators' file. An empty path means the defaults. See ParseOptions for the errors.
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

// optionFields returns the options by the names of their elements.
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

// OptionValue is the name and value of an option. Durations are in seconds.
type OptionValue struct {
	Name  string  `msgpack:"name" json:"name"`
	Value float64 `msgpack:"value" json:"value"`
}

// Values lists all options, ordered by name.
func (o Options) Values() []OptionValue {
	fields := o.optionFields()
	var values []OptionValue
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		values = append(values, OptionValue{name, fields[name].get()})
	}
	return values
}

// DescribeChanges lists the options whose values differ in the other options, each as "name old -> new".
func (o Options) DescribeChanges(other Options) []string {
	var changes []string
	otherValues := other.Values()
	for i, value := range o.Values() {
		if value.Value != otherValues[i].Value {
			changes = append(changes, fmt.Sprintf("%s %g -> %g", value.Name, value.Value, otherValues[i].Value))
		}
	}
	return changes
}

// ParseOptions reads <gullrudder><term>15</term>…</gullrudder>. An invalid line is a LineError.
func ParseOptions(raw []byte) (Options, error) {
	o := DefaultOptions()
	if err := parseElements(raw, "gullrudder", o.optionFields()); err != nil {
		return Options{}, err
	}
	return o, nil
}
