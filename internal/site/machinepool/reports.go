package machinepool

import (
	"net/http"
	"time"

	"gullrudder/internal/units"
	"gullrudder/internal/wire/codec"
	"gullrudder/internal/wire/poolapi"
)

// handleReport takes in a worker's report and answers with its assignment.
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
	// The clock keeps serials increasing across restarts of this process.
	s.lastSerial = max(s.lastSerial+1, uint64(now.UnixNano()))
	answer := poolapi.MachineAssignment{Serial: s.lastSerial}
	for _, id := range s.sortedMachineIDs() {
		m := s.record.Machines[id]
		if m.Worker == report.Name && s.reconcile(id, m, &report) {
			answer.Machine, answer.HasDrainNotice = id, s.record.IsDraining
		}
	}
	s.respond(request.Handle, http.StatusOK, answer)
}

// reconcile updates a machine from the report of its worker. It reports whether the worker is to have the machine.
func (s *State) reconcile(machineID string, machine *Machine, report *poolapi.WorkerReport) (isAssigned bool) {
	hasIt := report.Machine == machineID
	switch {
	case machine.WorkerEpoch != report.Epoch && !hasIt:
		// The worker was restarted. The new process ended all that was left before its first report: nothing of the machine
		// is there.
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
	if hasIt && !machine.IsRunning {
		machine.IsRunning, s.recordChanged = true, true
	}
	if s.record.IsDraining && machine.IsRunning && hasIt && report.RunningTasks == 0 {
		// Drained: no task is left, and none is started any more.
		s.terminate(machineID)
		machine.releasedAtSerial = s.lastSerial
		return false
	}
	return true
}

// release removes a terminating machine once its worker has applied an assignment without it and has nothing left. A report
// that the worker does not have the machine is not enough: the assignment to take it may still be on its way.
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
