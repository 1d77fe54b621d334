package heartbeat

import (
	"time"

	"gullrudder/internal/controller/cloud"
	"gullrudder/internal/controller/placement"
	"gullrudder/internal/controller/storage"
	"gullrudder/internal/controller/worker"
	"gullrudder/internal/logkeys"
	"gullrudder/internal/wire/workerapi"
)

// MachineKeyPrefix is the prefix of the keys of MachineRecords in the state service. The machine's ID follows it.
const MachineKeyPrefix = "m:"

// MachineRecord is the stored record of a machine that may hold tasks. It is written before the first start is sent to the machine,
// so that the next leader reconciles every such machine.
type MachineRecord struct {
	Addr string `msgpack:"a" json:"a"`
}

// register updates the instance and the capacity of a machine that has sent a heartbeat, and writes its MachineRecord.
func (h *Handler) register(now time.Time, machine *worker.Machine, heartbeat *workerapi.Heartbeat) {
	kind := cloud.InstanceKind{Type: heartbeat.Type, Zone: heartbeat.Zone, Spot: heartbeat.Spot}
	h.cloud.ObserveHeartbeat(now, heartbeat.Machine, heartbeat.Addr, kind)
	isCapacityUnknown := machine.CPUs+machine.MemoryGB+machine.GPUs == 0
	if machineType := h.cloud.MachineTypes[heartbeat.Type]; machineType != nil && isCapacityUnknown {
		h.workers.SetCapacity(machine, placement.TypeResources(machineType), machineType.ImageCacheGB, machineType.FetchGBPerSecond)
	}
	if machine.Registered || machine.Registering {
		return
	}
	machine.Registering = true
	if machine.Addr == "" {
		machine.Addr = heartbeat.Addr
	}
	record := MachineRecord{Addr: heartbeat.Addr}
	err := h.storage.Set(now, MachineKeyPrefix+machine.ID, record, storage.SetOptions{Urgent: true, Done: func(_ time.Time, ok bool) {
		if ok && h.workers.Machines[machine.ID] == machine {
			machine.Registered, machine.Registering = true, false
		}
	}})
	if err != nil {
		h.log.Error("machine registration failed", logkeys.Machine, machine.ID, logkeys.Err, err)
		machine.Registering = false
	}
}
