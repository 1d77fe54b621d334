// Package config reads the two settings files: the JSON file that the platform hands
// over and the operators' own XML file.
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
	Addr string
}

// Team owns jobs. A limit of 0 means none, a guarantee of 0 none.
type Team struct {
	Name                     string
	GuaranteedCPUs, CPULimit float64
	GuaranteedGPUs, GPULimit float64
}

// Objective is an aim for starting or finishing the jobs of a class.
type Objective struct {
	Kind           string
	Class          string
	TimeLimit      time.Duration
	TargetShare    float64
	DeadlineFactor float64 // of its deadline, where that is the aim
}

// Platform is the checked form of the platform's settings file.
type Platform struct {
	Name, Zone                 string
	PublicAddr, PeerListenAddr string
	Peers                      []Peer
	CloudAddr, StateAddr       string
	Zones                      []string
	Teams                      []Team
	Objectives                 []Objective
	HeartbeatInterval          time.Duration
	WorkerLeaseDuration        time.Duration
	CancelTimeout              time.Duration
	StateRequestRate           float64
	StateWriteRate             float64
	MaxValueBytes              int
	MaxTransactionOps          int
	CloudRequestRate           float64
	CloudListLag               time.Duration
	CPUQuota                   float64
	MemoryQuotaMB              float64
	MaxConnections             int
	MaxClockError              time.Duration
}

// TeamsByName are the teams by their names.
func (p *Platform) TeamsByName() map[string]Team {
	teams := map[string]Team{}
	for _, t := range p.Teams {
		teams[t.Name] = t
	}
	return teams
}

type platformFile struct {
	HostName   string `json:"host_name"`
	Domain     string `json:"domain"`
	PublicAddr string `json:"public_addr"`
	PeerBind   string `json:"peer_bind"`
	Others     []struct {
		HostName string `json:"host_name"`
		Domain   string `json:"domain"`
		Addr     string `json:"addr"`
	} `json:"others"`
	Outside struct {
		Cloud string `json:"cloud"`
		State string `json:"state"`
	} `json:"outside"`
	Cluster struct {
		Zones []string `json:"zones"`
		Teams []struct {
			Name    string  `json:"name"`
			CPUs    float64 `json:"cpus"`
			CPUsMax float64 `json:"cpus_max"`
			GPUs    float64 `json:"gpus"`
			GPUsMax float64 `json:"gpus_max"`
		} `json:"teams"`
		Objectives []struct {
			Kind    string  `json:"kind"`
			Class   string  `json:"class"`
			WithinS float64 `json:"within_s"`
			Share   float64 `json:"share"`
			Times   float64 `json:"times"`
		} `json:"objectives"`
		Workers struct {
			ReportS float64 `json:"report_s"`
			LeaseS  float64 `json:"lease_s"`
			CancelS float64 `json:"cancel_s"`
		} `json:"workers"`
		State struct {
			RPS      float64     `json:"rps"`
			WriteRPS float64     `json:"write_rps"`
			ValueKB  float64     `json:"value_kb"`
			TxnOps   int         `json:"txn_ops"`
			Next     stateLimits `json:"next"`
		} `json:"state"`
		Cloud struct {
			RPS      float64 `json:"rps"`
			ListLagS float64 `json:"list_lag_s"`
		} `json:"cloud"`
		Quota struct {
			CPU            float64 `json:"cpu"`
			RAMMB          float64 `json:"ram_mb"`
			MaxConnections int     `json:"max_connections"`
		} `json:"quota"`
		ClockErrorMS float64 `json:"clock_error_ms"`
	} `json:"cluster"`
}

// stateLimits are those that the state service is to have later; 0: as now.
type stateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

func lowerLimit(now, next float64) float64 {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// DurationFromSeconds turns a wire amount of seconds into a duration.
func DurationFromSeconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// LoadPlatform reads and checks the platform's file.
func LoadPlatform(path string) (*Platform, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return ParsePlatform(raw)
}

// ParsePlatform checks the platform's settings. Unknown fields are ignored.
func ParsePlatform(raw []byte) (*Platform, error) {
	var file platformFile
	if err := json.Unmarshal(raw, &file); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			return nil, fmt.Errorf("settings: field %s: %s is not a %s", typeErr.Field, typeErr.Value, typeErr.Type)
		}
		return nil, fmt.Errorf("settings: %w", err)
	}
	cluster := file.Cluster
	platform := &Platform{
		Name: file.HostName, Zone: file.Domain, PublicAddr: file.PublicAddr, PeerListenAddr: file.PeerBind,
		CloudAddr: file.Outside.Cloud, StateAddr: file.Outside.State, Zones: cluster.Zones,
		HeartbeatInterval: DurationFromSeconds(cluster.Workers.ReportS), WorkerLeaseDuration: DurationFromSeconds(cluster.Workers.LeaseS),
		CancelTimeout:    DurationFromSeconds(cluster.Workers.CancelS),
		StateRequestRate: cluster.State.RPS, StateWriteRate: cluster.State.WriteRPS,
		MaxValueBytes: int(cluster.State.ValueKB * 1024), MaxTransactionOps: cluster.State.TxnOps,
		CloudRequestRate: cluster.Cloud.RPS, CloudListLag: DurationFromSeconds(cluster.Cloud.ListLagS),
		CPUQuota: cluster.Quota.CPU, MemoryQuotaMB: cluster.Quota.RAMMB, MaxConnections: cluster.Quota.MaxConnections,
		MaxClockError: DurationFromSeconds(cluster.ClockErrorMS / 1000),
	}
	// What is written from now on keeps to the lower of the limits that are and those that are to come without notice.
	next := cluster.State.Next
	platform.StateRequestRate, platform.StateWriteRate = lowerLimit(
		platform.StateRequestRate,
		next.RPS,
	), lowerLimit(
		platform.StateWriteRate,
		next.WriteRPS,
	)
	platform.MaxValueBytes = int(lowerLimit(float64(platform.MaxValueBytes), next.ValueKB*1024))
	platform.MaxTransactionOps = int(lowerLimit(float64(platform.MaxTransactionOps), float64(next.TxnOps)))
	for _, item := range file.Others {
		platform.Peers = append(platform.Peers, Peer{Name: item.HostName, Zone: item.Domain, Addr: item.Addr})
	}
	for _, team := range cluster.Teams {
		platform.Teams = append(platform.Teams, Team{team.Name, team.CPUs, team.CPUsMax, team.GPUs, team.GPUsMax})
	}
	for _, item := range cluster.Objectives {
		platform.Objectives = append(
			platform.Objectives,
			Objective{item.Kind, item.Class, DurationFromSeconds(item.WithinS), item.Share, item.Times},
		)
	}
	return platform, platform.validate()
}

func (p *Platform) validate() error {
	for _, field := range []struct{ name, value string }{
		{"host_name", p.Name},
	} {
		if field.value == "" {
			return fmt.Errorf("settings: field %s: missing", field.name)
		}
	}
	addrs := []struct{ name, value string }{
		{"public_addr", p.PublicAddr},
		{"peer_bind", p.PeerListenAddr},
		{"outside.cloud", p.CloudAddr},
		{"outside.state", p.StateAddr},
	}
	for i, peer := range p.Peers {
		if peer.Name == "" {
			return fmt.Errorf("settings: field others[%d].host_name: missing", i)
		}
		addrs = append(addrs, struct{ name, value string }{fmt.Sprintf("others[%d].addr", i), peer.Addr})
	}
	for _, addr := range addrs {
		if addr.value == "" {
			return fmt.Errorf("settings: field %s: missing", addr.name)
		}
		if _, _, err := net.SplitHostPort(addr.value); err != nil {
			return fmt.Errorf("settings: field %s: %q is not host:port", addr.name, addr.value)
		}
	}
	for _, limit := range []struct {
		name       string
		value, low float64
	}{
		{"cluster.workers.report_s", p.HeartbeatInterval.Seconds(), 0.001},
		{"cluster.workers.lease_s", p.WorkerLeaseDuration.Seconds(), 0.001},
		{"cluster.workers.cancel_s", p.CancelTimeout.Seconds(), 0.001},
		{"cluster.state.rps", p.StateRequestRate, 1},
		{"cluster.state.write_rps", p.StateWriteRate, 1},
		{"cluster.state.value_kb", float64(p.MaxValueBytes) / 1024, 1},
		{"cluster.state.txn_ops", float64(p.MaxTransactionOps), 1},
		{"cluster.cloud.rps", p.CloudRequestRate, 0.01},
		{"cluster.cloud.list_lag_s", p.CloudListLag.Seconds(), 0},
		{"cluster.quota.cpu", p.CPUQuota, 0.01},
		{"cluster.quota.ram_mb", p.MemoryQuotaMB, 16},
		{"cluster.quota.max_connections", float64(p.MaxConnections), 16},
	} {
		if !(limit.value >= limit.low) {
			return fmt.Errorf("settings: field %s: missing or below %g", limit.name, limit.low)
		}
	}
	seenTeams := map[string]bool{}
	for i, team := range p.Teams {
		switch {
		case team.Name == "":
			return fmt.Errorf("settings: field cluster.teams[%d].name: missing", i)
		case seenTeams[team.Name]:
			return fmt.Errorf("settings: field cluster.teams[%d].name: %q is there twice", i, team.Name)
		case team.GuaranteedCPUs < 0 || team.CPULimit < 0 || team.GuaranteedGPUs < 0 || team.GPULimit < 0:
			return fmt.Errorf("settings: field cluster.teams[%d]: an amount is negative", i)
		}
		seenTeams[team.Name] = true
	}
	return nil
}
