package machinepool

import (
	"net/http"
	"time"

	"gullrudder/internal/units"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/poolapi"
)

// handleReport records a worker's report and responds with its assignment.
func (s *State) handleReport(now time.Time, request Request) {
	var report poolapi.WorkerReport
	if codec.Unmarshal(request.Body, &report) != nil || report.Name == "" || report.Addr == "" || report.Type == "" {
		s.respondError(request.Handle, http.StatusBadRequest, "no greeting")
		return
	}
	if known := s.workers[report.Name]; known != nil && known.Epoch > report.Epoch {
		s.respondError(request.Handle, http.StatusConflict, "a later process of this worker is there")
		return
	}
	s.workers[report.Name] = &worker{report, now}
	s.effects.TaskFailures = append(s.effects.TaskFailures, report.Failures...)
	// Serials are taken from the clock so that they also increase across restarts of this process.
	s.lastSerial = max(s.lastSerial+1, uint64(now.UnixNano()))
	assignment := poolapi.MachineAssignment{Serial: s.lastSerial}
	for _, id := range s.sortedMachineIDs() {
		m := s.record.Machines[id]
		if m.Worker == report.Name && s.reconcile(id, m, &report) {
			assignment.Machine, assignment.HasDrainNotice = id, s.record.IsDraining
		}
	}
	s.respond(request.Handle, http.StatusOK, assignment)
}

// reconcile updates a machine from the report of its worker. isAssigned is whether the machine stays assigned to the worker.
func (s *State) reconcile(machineID string, machine *Machine, report *poolapi.WorkerReport) (isAssigned bool) {
	workerHasMachine := report.Machine == machineID
	switch {
	case machine.WorkerEpoch != report.Epoch && !workerHasMachine:
		// The worker was restarted. Before its first report, the new process ended all tasks that were left. So none of the
		// machine's tasks is left.
		s.recordChanged = s.recordChanged || !machine.HasFailed || machine.IsTerminating
		machine.HasFailed = true
		if machine.IsTerminating {
			delete(s.record.Machines, machineID)
		}
		return false
	case machine.IsTerminating:
		s.release(machineID, machine, report)
		return false
	}
	if workerHasMachine && !machine.IsRunning {
		machine.IsRunning, s.recordChanged = true, true
	}
	if s.record.IsDraining && machine.IsRunning && workerHasMachine && report.RunningTasks == 0 {
		// The machine is drained: no task is left, and no further task is started.
		s.terminate(machineID)
		machine.releasedAtSerial = s.lastSerial
		return false
	}
	return true
}

// release removes a terminating machine once its worker has applied an assignment without it and reports that it does not have it. The
// report alone is not enough: an earlier assignment with the machine may still be on its way to the worker.
func (s *State) release(machineID string, machine *Machine, report *poolapi.WorkerReport) {
	switch {
	case machine.releasedAtSerial == 0:
		machine.releasedAtSerial = s.lastSerial
	case report.AppliedSerial >= machine.releasedAtSerial && report.Machine != machineID:
		delete(s.record.Machines, machineID)
		s.recordChanged = true
	}
}

func (s *State) setDraining(isDraining bool) {
	if s.record.IsDraining == isDraining {
		return
	}
	s.record.IsDraining, s.recordChanged = isDraining, true
	for _, w := range s.workers {
		s.notify(w)
	}
}

func (s *State) overview(now time.Time) Overview {
	view := Overview{IsDraining: s.record.IsDraining, MachineCount: len(s.record.Machines), Workers: []WorkerView{}}
	for _, name := range s.sortedWorkerNames() {
		w := s.workers[name]
		view.RunningTasks += w.RunningTasks
		view.Workers = append(view.Workers, WorkerView{
			Name:          name,
			Machine:       w.Machine,
			CPUs:          w.CPUs,
			MemoryGB:      w.MemoryGB,
			RunningTasks:  w.RunningTasks,
			FreeDiskMB:    w.FreeDiskBytes / units.BytesPerMB,
			SilentSeconds: now.Sub(w.reportedAt).Seconds(),
		})
	}
	return view
}
