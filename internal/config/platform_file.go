package config

import "gullrudder/internal/units"

// platformFile is the encoding of the platform's settings file. The platform defines its field names.
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
			RPS      float64              `json:"rps"`
			WriteRPS float64              `json:"write_rps"`
			ValueKB  float64              `json:"value_kb"`
			TxnOps   int                  `json:"txn_ops"`
			Next     announcedStateLimits `json:"next"`
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

// announcedStateLimits are the announced future limits of the state service; 0: unchanged.
type announcedStateLimits struct {
	RPS      float64 `json:"rps"`
	WriteRPS float64 `json:"write_rps"`
	ValueKB  float64 `json:"value_kb"`
	TxnOps   int     `json:"txn_ops"`
}

// bytesPerKB is the size of a KB in the settings files.
const bytesPerKB = 1024

// platform converts the file to the program's units, without validation.
func (f *platformFile) platform() *Platform {
	cluster := &f.Cluster
	platform := &Platform{
		Name: f.HostName, Zone: f.Domain, PublicAddr: f.PublicAddr, PeerListenAddr: f.PeerBind,
		CloudAddr: f.Outside.Cloud, StateAddr: f.Outside.State, Zones: cluster.Zones,
		WorkerTiming: WorkerTiming{
			HeartbeatInterval:   units.DurationFromSeconds(cluster.Workers.ReportS),
			WorkerLeaseDuration: units.DurationFromSeconds(cluster.Workers.LeaseS),
			CancelTimeout:       units.DurationFromSeconds(cluster.Workers.CancelS),
		},
		StateLimits: f.lowestStateLimits(),
		CloudLimits: CloudLimits{CloudRequestRate: cluster.Cloud.RPS, CloudListLag: units.DurationFromSeconds(cluster.Cloud.ListLagS)},
		ProcessQuota: ProcessQuota{
			CPUQuota: cluster.Quota.CPU, MemoryQuotaMB: cluster.Quota.RAMMB, MaxConnections: cluster.Quota.MaxConnections,
		},
		MaxClockError: units.DurationFromSeconds(cluster.ClockErrorMS / 1000),
	}
	for _, other := range f.Others {
		platform.Peers = append(platform.Peers, Peer{Name: other.HostName, Zone: other.Domain, Addr: other.Addr})
	}
	for _, team := range cluster.Teams {
		platform.Teams = append(platform.Teams, Team{
			Name: team.Name, GuaranteedCPUs: team.CPUs, CPULimit: team.CPUsMax, GuaranteedGPUs: team.GPUs, GPULimit: team.GPUsMax,
		})
	}
	for _, objective := range cluster.Objectives {
		platform.Objectives = append(platform.Objectives, Objective{
			Kind: objective.Kind, Class: objective.Class, TimeLimit: units.DurationFromSeconds(objective.WithinS),
			TargetShare: objective.Share, DeadlineFactor: objective.Times,
		})
	}
	return platform
}

// lowestStateLimits returns the lower of the present and the announced limits of the state service. The announced limits may take effect
// at any time, and must also hold for values written before that.
func (f *platformFile) lowestStateLimits() StateLimits {
	state, next := &f.Cluster.State, &f.Cluster.State.Next
	valueBytes := int(state.ValueKB * bytesPerKB)
	return StateLimits{
		StateRequestRate:  lowerLimit(state.RPS, next.RPS),
		StateWriteRate:    lowerLimit(state.WriteRPS, next.WriteRPS),
		MaxValueBytes:     int(lowerLimit(float64(valueBytes), next.ValueKB*bytesPerKB)),
		MaxTransactionOps: int(lowerLimit(float64(state.TxnOps), float64(next.TxnOps))),
	}
}

// lowerLimit returns the lower of the present limit and the announced one; 0 means that none is announced.
func lowerLimit(now, next float64) float64 {
	if next > 0 {
		return min(now, next)
	}
	return now
}
