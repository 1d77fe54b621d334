package config

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"time"
)

// Options are the operators' own settings of the controllers. Shares are of the cluster's capacity, 0 to 1, where nothing else is
// said. docs/operations/controllers.md describes each.
type Options struct {
	// PlanningInterval is the time between two admission plans.
	PlanningInterval time.Duration

	SubmissionOptions
	QueueOptions
	AutoscalerOptions
	ElectionOptions
	FairShareOptions
	ArchiveOptions
}

// SubmissionOptions are what a team may submit with a guarantee. What is above it is best effort.
type SubmissionOptions struct {
	SubmissionWindow time.Duration // over which a team's submissions are counted
	SubmissionShare  float64       // that a team may submit in the window, in times the cluster's capacity
}

// QueueOptions are the order of waiting jobs.
type QueueOptions struct {
	StartBound   time.Duration // a job of which nothing has started after this goes before others; 0: none does
	AgeBound     time.Duration // a best-effort job that is older than this goes before younger ones
	AgedShare    float64       // reserved for jobs past the age bound
	LatenessStep time.Duration // lateness that makes a job worth one step less
	// EstimateError is how many times its estimate a job is taken to need at most, where a bound on waiting is stated.
	EstimateError float64
}

// AutoscalerOptions are what is requested from the cloud and terminated there.
type AutoscalerOptions struct {
	IdleTimeout     time.Duration // a machine that is idle for this long is terminated
	ScaleOutBacklog time.Duration // work that lasts a third of this is worth an instance of the cheapest type
	CostWeight      float64       // how much cost weighs against objectives that are missed
}

// ElectionOptions are those of the leader election. They are read at the start only, and the same on all controllers.
type ElectionOptions struct {
	LeaderLeaseDuration time.Duration // of the leader's key without renewal
	GrantDuration       time.Duration // of a leader-lease grant between controllers
}

// FairShareOptions are those of fair sharing between classes and teams.
type FairShareOptions struct {
	FairShareWindow   time.Duration // over which served jobs are counted
	MinServedShare    float64       // of the jobs of each class and team
	FairShareCapacity float64       // that classes and teams below the minimum may have before others
	OverdueShare      float64       // for jobs that can meet none of their objectives any more
}

// ArchiveOptions are those of the archive of finished jobs.
type ArchiveOptions struct {
	ArchiveDelay    time.Duration // how long a finished job stays in the live pages
	MinSegmentJobs  int           // finished jobs that are worth a segment
	CompactionFanIn int           // segments that are compacted into one
}

// DefaultOptions are the options that count where the file says nothing.
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

// LoadOptions reads the operators' file; no path means the defaults. See ParseOptions for its errors.
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

// Values lists all options, ordered by name.
func (o Options) Values() []OptionValue {
	fields := o.optionFields()
	var values []OptionValue
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		values = append(values, OptionValue{name, fields[name].get()})
	}
	return values
}

// DescribeChanges lists the options that have another value in the other options, each as "name old -> new".
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

// ParseOptions reads <gullrudder><term>15</term>…</gullrudder>. A line that is wrong is a LineError.
func ParseOptions(raw []byte) (Options, error) {
	o := DefaultOptions()
	if err := parseElements(raw, "gullrudder", o.optionFields()); err != nil {
		return Options{}, err
	}
	return o, nil
}
