package datadir

import "encoding/json"

// Limits in the settings of a site's controllers: limits of the state service and the machine pool, which serve this site only, and of
// the controllers themselves.
const (
	stateRequestRate   = 2000 // a second, for requests and for changes
	stateMaxValueKB    = 32
	stateMaxOperations = 64  // in one transaction
	cloudRequestRate   = 20  // a second
	cloudListLag       = 0.5 // in seconds
	controllerCPUs     = 1
	controllerMemoryMB = 512
	maxConnections     = 512
	clockErrorMS       = 100
)

// controllerConfig holds a controller's settings in the format that config.LoadPlatform reads. The fields are in alphabetical order of
// their JSON names, so that the file of a new site has the same bytes as one of earlier versions.
type controllerConfig struct {
	Cluster    clusterConfig  `json:"cluster"`
	Zone       string         `json:"domain"`
	Name       string         `json:"host_name"`
	Peers      []peerConfig   `json:"others"`
	Services   servicesConfig `json:"outside"`
	PeerAddr   string         `json:"peer_bind"`
	PublicAddr string         `json:"public_addr"`
}

type peerConfig struct {
	Addr string `json:"addr"`
	Zone string `json:"domain"`
	Name string `json:"host_name"`
}

type servicesConfig struct {
	MachinePoolAddr string `json:"cloud"`
	StateAddr       string `json:"state"`
}

type clusterConfig struct {
	ClockErrorMS int           `json:"clock_error_ms"`
	Cloud        cloudLimits   `json:"cloud"`
	Quota        processLimits `json:"quota"`
	State        stateLimits   `json:"state"`
	Teams        []teamConfig  `json:"teams"`
	Workers      workerTiming  `json:"workers"`
	Zones        []string      `json:"zones"`
}

type cloudLimits struct {
	ListLagSeconds float64 `json:"list_lag_s"`
	RequestRate    int     `json:"rps"`
}

type processLimits struct {
	CPUs           int `json:"cpu"`
	MaxConnections int `json:"max_connections"`
	MemoryMB       int `json:"ram_mb"`
}

type stateLimits struct {
	RequestRate   int `json:"rps"`
	MaxOperations int `json:"txn_ops"`
	MaxValueKB    int `json:"value_kb"`
	WriteRate     int `json:"write_rps"`
}

type teamConfig struct {
	CPUs float64 `json:"cpus"`
	Name string  `json:"name"`
}

type workerTiming struct {
	CancelSeconds    float64 `json:"cancel_s"`
	LeaseSeconds     float64 `json:"lease_s"`
	HeartbeatSeconds float64 `json:"report_s"`
}

// writeControllerConfig writes the settings of one controller.
func (s *Site) writeControllerConfig(index int) error {
	encoded, err := json.MarshalIndent(s.controllerConfig(index), "", "  ")
	if err != nil {
		return err
	}
	return replaceFile(s.ControllerConfigPath(index), append(encoded, '\n'))
}

func (s *Site) controllerConfig(index int) controllerConfig {
	own := s.Controllers[index]
	peers := []peerConfig{}
	for i, peer := range s.Controllers {
		if i != index {
			peers = append(peers, peerConfig{Addr: peer.PeerAddr, Zone: s.Zone, Name: peer.Name})
		}
	}
	return controllerConfig{
		Cluster: clusterConfig{
			ClockErrorMS: clockErrorMS,
			Cloud:        cloudLimits{ListLagSeconds: cloudListLag, RequestRate: cloudRequestRate},
			Quota:        processLimits{CPUs: controllerCPUs, MaxConnections: maxConnections, MemoryMB: controllerMemoryMB},
			State: stateLimits{
				RequestRate: stateRequestRate, MaxOperations: stateMaxOperations, MaxValueKB: stateMaxValueKB, WriteRate: stateRequestRate,
			},
			Teams: []teamConfig{{CPUs: s.CPUs, Name: DefaultTeam}},
			Workers: workerTiming{
				// Twice the lease: by then the lease of an unreachable worker has expired and its cancelled tasks have ended.
				CancelSeconds:    2 * WorkerLeaseDuration.Seconds(),
				LeaseSeconds:     WorkerLeaseDuration.Seconds(),
				HeartbeatSeconds: HeartbeatInterval.Seconds(),
			},
			Zones: []string{s.Zone},
		},
		Zone:       s.Zone,
		Name:       own.Name,
		Peers:      peers,
		Services:   servicesConfig{MachinePoolAddr: s.MachinePoolAddr, StateAddr: s.StateAddr},
		PeerAddr:   own.PeerAddr,
		PublicAddr: own.PublicAddr,
	}
}
