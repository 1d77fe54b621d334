// Package config reads the settings files: the platform's JSON file and the operators' own XML files for controllers and the state
// service. Its errors name the invalid field or line. It has no state, keeps no file open, and never changes a setting.
// docs/operations/controllers.md and docs/operations/state.md describe each setting.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"time"
)

// Peer is another controller.
type Peer struct {
	Name string
	Zone string
	Addr string // host:port where it accepts connections from other controllers
}

// Team owns jobs and has quotas, in the units of jobs.Spec. A limit of 0 means no limit, and a guarantee of 0
// means no guarantee.
type Team struct {
	Name                     string
	GuaranteedCPUs, CPULimit float64
	GuaranteedGPUs, GPULimit float64
}

// Kinds of objectives, as the platform's settings file names them.
const (
	ObjectiveStart     = "wait"      // a job starts within TimeLimit
	ObjectiveFinish    = "finished"  // a job finishes within TimeLimit
	ObjectiveDeadline  = "deadline"  // a job finishes within DeadlineFactor times its deadline
	ObjectiveGuarantee = "guarantee" // a job within its team's guarantee starts within TimeLimit
)

// Objective is a service level objective: a share of the jobs of a class starts or finishes in time.
type Objective struct {
	Kind           string // one of the kinds above; others are ignored
	Class          string
	TimeLimit      time.Duration // counted from jobs.Job.EligibleSince
	TargetShare    float64       // share of the jobs that are to meet it, 0 to 1
	DeadlineFactor float64       // multiple of the job's deadline, for ObjectiveDeadline
}

// Platform has the validated settings of the platform's file.
type Platform struct {
	// This controller, the other controllers, the cloud and the state service. Addresses are host:port.
	Name, Zone                 string
	PublicAddr, PeerListenAddr string
	Peers                      []Peer
	CloudAddr, StateAddr       string

	// The zones of the cluster, and the teams and classes that share it.
	Zones      []string
	Teams      []Team
	Objectives []Objective

	WorkerTiming
	StateLimits
	CloudLimits
	ProcessQuota

	// MaxClockError is how much the clocks of two machines may differ.
	MaxClockError time.Duration
}

// WorkerTiming is the timing of heartbeats, leases and cancellations.
type WorkerTiming struct {
	HeartbeatInterval   time.Duration
	WorkerLeaseDuration time.Duration
	CancelTimeout       time.Duration // from a confirmed cancellation until its tasks have ended
}

// StateLimits are the limits of the state service. Rates are per second.
type StateLimits struct {
	StateRequestRate  float64
	StateWriteRate    float64
	MaxValueBytes     int // JSON bytes
	MaxTransactionOps int
}

// CloudLimits are the limits of the cloud's API.
type CloudLimits struct {
	CloudRequestRate float64       // per second
	CloudListLag     time.Duration // how old a list of instances may be
}

// ProcessQuota is the resources that this process may use.
type ProcessQuota struct {
	CPUQuota       float64 // CPUs
	MemoryQuotaMB  float64
	MaxConnections int
}

// TeamsByName returns a new map from the names of the teams to the teams.
func (p *Platform) TeamsByName() map[string]Team {
	teams := map[string]Team{}
	for _, team := range p.Teams {
		teams[team.Name] = team
	}
	return teams
}

// FieldError reports a missing or invalid field of the platform's settings file.
type FieldError struct {
	Field  string // its path in the file
	Reason string
}

// Error names the field.
func (e *FieldError) Error() string { return fmt.Sprintf("settings: field %s: %s", e.Field, e.Reason) }

func newFieldError(field, format string, args ...any) error {
	return &FieldError{Field: field, Reason: fmt.Sprintf(format, args...)}
}

// LoadPlatform reads and validates the platform's file. Unknown fields are ignored. A missing or invalid field is a FieldError.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return parsePlatform(raw)
}

// parsePlatform decodes and validates the platform's settings. See LoadPlatform.
func parsePlatform(raw []byte) (*Platform, error) {
	var file platformFile
	if err := json.Unmarshal(raw, &file); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, newFieldError(typeErr.Field, "%s is not a %s", typeErr.Value, typeErr.Type)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	platform := file.platform()
	return platform, platform.validate()
}

// validate returns an error about the first invalid field that it finds.
func (p *Platform) validate() error {
	if p.Name == "" {
		return newFieldError("host_name", "missing")
	}
	for _, check := range []func() error{p.validateAddrs, p.validateLimits, p.validateTeams} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

func (p *Platform) validateAddrs() error {
	type namedAddr struct{ name, addr string }
	addrs := []namedAddr{
		{"public_addr", p.PublicAddr},
		{"peer_bind", p.PeerListenAddr},
		{"outside.cloud", p.CloudAddr},
		{"outside.state", p.StateAddr},
	}
	for i, peer := range p.Peers {
		if peer.Name == "" {
			return newFieldError(fmt.Sprintf("others[%d].host_name", i), "missing")
		}
		addrs = append(addrs, namedAddr{fmt.Sprintf("others[%d].addr", i), peer.Addr})
	}
	for _, a := range addrs {
		if a.addr == "" {
			return newFieldError(a.name, "missing")
		}
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return newFieldError(a.name, "%q is not host:port", a.addr)
		}
	}
	return nil
}

// validateLimits checks that each number is at least the minimum that a controller needs.
func (p *Platform) validateLimits() error {
	for _, limit := range []struct {
		name       string
		value, low float64
	}{
		{"cluster.workers.report_s", p.HeartbeatInterval.Seconds(), 0.001},
		{"cluster.workers.lease_s", p.WorkerLeaseDuration.Seconds(), 0.001},
		{"cluster.workers.cancel_s", p.CancelTimeout.Seconds(), 0.001},
		{"cluster.state.rps", p.StateRequestRate, 1},
		{"cluster.state.write_rps", p.StateWriteRate, 1},
		{"cluster.state.value_kb", float64(p.MaxValueBytes) / bytesPerKB, 1},
		{"cluster.state.txn_ops", float64(p.MaxTransactionOps), 1},
		{"cluster.cloud.rps", p.CloudRequestRate, 0.01},
		{"cluster.cloud.list_lag_s", p.CloudListLag.Seconds(), 0},
		{"cluster.quota.cpu", p.CPUQuota, 0.01},
		{"cluster.quota.ram_mb", p.MemoryQuotaMB, 16},
		{"cluster.quota.max_connections", float64(p.MaxConnections), 16},
	} {
		if !(limit.value >= limit.low) { // also rejects NaN
			return newFieldError(limit.name, "missing or below %g", limit.low)
		}
	}
	return nil
}

func (p *Platform) validateTeams() error {
	seen := map[string]bool{}
	for i, team := range p.Teams {
		field := fmt.Sprintf("cluster.teams[%d]", i)
		switch {
		case team.Name == "":
			return newFieldError(field+".name", "missing")
		case seen[team.Name]:
			return newFieldError(field+".name", "%q is there twice", team.Name)
		case team.GuaranteedCPUs < 0 || team.CPULimit < 0 || team.GuaranteedGPUs < 0 || team.GPULimit < 0:
			return newFieldError(field, "an amount is negative")
		}
		seen[team.Name] = true
	}
	return nil
}
