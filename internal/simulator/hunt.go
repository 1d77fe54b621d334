package simulator

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Mute lets up to so many machines reach no controller; commands reach them directly, and are answered.
func (c *Cloud) Mute(count int, span time.Duration) {
	for _, m := range c.some(count) {
		m.mute = c.w.Now.Add(span)
	}
	c.w.trouble(span)
}

// CutZone cuts a zone with its machines, and these controllers in it, off from everything outside.
func (w *World) CutZone(zone string, inside []int, span time.Duration) {
	for i := range w.nodes {
		in := slices.Contains(inside, i)
		if in {
			w.CutFrom(i, FromState|FromUsers|FromCloud, span)
		}
		for j := range w.nodes {
			if in != slices.Contains(inside, j) {
				w.Cut(nodeName(i), nodeName(j), span)
			}
		}
		for _, m := range w.Cloud.running() {
			if (m.zone == zone) != in {
				w.Cut(nodeName(i), m.id, span)
			}
		}
	}
}

// AtEnd has the users of some of the jobs that end in a while cancel them at that moment.
func (u *Users) AtEnd(share float64, span time.Duration) {
	u.atEnd, u.atEndUntil = share, u.w.Now.Add(span)
	u.w.trouble(span)
}

// ended is told of a job whose last task has just completed.
func (u *Users) ended(id string) {
	if j := u.w.model.jobs[id]; u.w.Now.Before(u.atEndUntil) && !j.accepted.IsZero() && !j.asked && u.w.Rng.Float64() < u.atEnd {
		u.w.At(time.Duration(u.w.Rng.IntN(700))*time.Millisecond, func() { u.cancel(id) })
	}
}

// CancelNow has up to so many jobs cancelled that run and have the longest to go, within a fifth of a second; up to
// eight of their machines then hang for a while.
func (u *Users) CancelNow(most int, hang time.Duration) {
	left := func(id string) time.Duration {
		j := u.w.model.jobs[id]
		return time.Duration(j.spec.Tasks-len(j.done)) * j.run
	}
	var list []string
	on := map[string][]*machine{}
	for _, id := range u.ids {
		j := u.w.model.jobs[id]
		if j.accepted.IsZero() || j.asked || len(j.done) == j.spec.Tasks {
			continue
		}
		for t := range j.spec.Tasks {
			on[id] = append(on[id], u.w.model.where[jobs.TaskID{JobID: id, Index: t}]...)
		}
		if len(on[id]) > 0 {
			list = append(list, id)
		}
	}
	slices.SortStableFunc(list, func(a, b string) int { return cmp.Compare(left(b), left(a)) })
	hung := 0
	for _, id := range list[:min(most, len(list))] {
		u.w.At(time.Duration(u.w.Rng.IntN(200))*time.Millisecond, func() { u.cancel(id) })
		for _, m := range on[id] {
			if hung < 8 && hang > 0 && u.w.Now.After(m.hangs) {
				hung++
				u.w.At(200*time.Millisecond, func() { m.hangs = u.w.Now.Add(hang) })
			}
		}
	}
	if hung > 0 {
		u.w.trouble(hang + 200*time.Millisecond)
	}
}

// Odd is a request that makes little sense: a submission of an unfinished job again, the cancellation of one that is
// done, a job that fits no machine, one that lacks a field. What cannot run must not be accepted.
func (u *Users) Odd() {
	r := u.w.Rng
	pick := func(counts func(*modelJob) bool) string {
		for range 8 {
			if len(u.ids) > 0 {
				if id := u.ids[r.IntN(len(u.ids))]; counts(u.w.model.jobs[id]) {
					return id
				}
			}
		}
		return ""
	}
	s := jobs.Spec{
		ID:              fmt.Sprintf("job-8%06d", u.odd),
		Class:           "odd",
		Team:            "none",
		Tasks:           1,
		CPUs:            1,
		MemoryGB:        1,
		Image:           "i",
		AllowsSpot:      true,
		RunTimeEstimate: time.Second,
	}
	if len(u.w.Opt.Teams) > 0 {
		s.Team = u.w.Opt.Teams[0].Name
	}
	u.odd++
	switch r.IntN(4) {
	case 0:
		if id := pick(func(j *modelJob) bool { return !j.accepted.IsZero() && j.finished.IsZero() }); id != "" {
			u.submit(u.w.model.jobs[id].spec, u.w.Now)
		}
	case 1:
		if id := pick(func(j *modelJob) bool { return !j.finished.IsZero() }); id != "" {
			u.cancel(id)
		}
	case 2:
		s.CPUs = 1000
		u.mustRefuse(s.ID, Wire(s), 422)
	default:
		fields := Wire(s)
		names := []string{
			"berth", "crew", "rig", "heading", "strokes", "cpus", "cards", "mem_gb", "hull", "image_gb", "one_zone", "spread",
			"driftwood", "voyage_s", "mooring_s", "tieup_s",
		}
		delete(fields, names[r.IntN(len(names))])
		u.mustRefuse(s.ID, fields, 400)
	}
}

// mustRefuse sends what must be refused, now with this status or with one that says to come back.
func (u *Users) mustRefuse(id string, fields map[string]any, final int) {
	u.ask("POST", "/work", fields, func(status int, _ string, _ time.Time) {
		if status != 0 && status != 503 && status != 429 && status != final {
			u.w.breakRule("accepted though it cannot run, or refused wrongly: %s is answered %d, not %d", id, status, final)
		}
	})
}

// waitsAtMost is how long a job may be left waiting once all troubles are over, while a machine that fits has room and
// its team is under its limit.
const waitsAtMost = 90 * time.Second

// watchWaiting looks every two seconds, with the world's own eyes, for jobs that are left waiting.
func (m *model) watchWaiting() {
	m.w.At(2*time.Second, func() {
		if m.w.Now.After(m.w.calm) {
			m.lookForWaiting()
		}
		m.watchWaiting()
	})
}

func (m *model) lookForWaiting() {
	busy := map[jobs.TaskID]bool{}
	used := map[string]float64{}
	up := m.w.Cloud.running()
	room := map[*machine][2]float64{}
	for _, h := range up {
		cpus, mem := h.flavor.CPUs, h.flavor.MemoryGB
		for _, t := range h.tasks {
			busy[t.key] = true
			if j := m.jobs[t.key.JobID]; j != nil && t.why == "" {
				cpus, mem = cpus-j.spec.CPUs, mem-j.spec.MemoryGB
				used[j.spec.Team] += j.spec.CPUs
			}
		}
		room[h] = [2]float64{cpus, mem}
	}
	for _, id := range m.w.Users.ids {
		j := m.jobs[id]
		// It has to be one machine that has room all the time: in a shortage each has some for a moment, until its next report.
		now := m.couldStart(id, j, busy, used, up, room)
		if j.left.Before(m.w.calm) || len(j.roomy) == 0 { // what came before the end of the last trouble does not count
			j.left, j.roomy = m.w.Now, now
		}
		j.roomy = slices.DeleteFunc(j.roomy, func(h *machine) bool { return !slices.Contains(now, h) })
		if len(j.roomy) == 0 {
			j.left = time.Time{}
			continue
		}
		if waits := m.w.Now.Sub(j.left); waits > waitsAtMost {
			m.w.breakRule("left waiting: %s for %v while a machine that fits has room", id, waits.Round(time.Second))
		}
	}
}

// couldStart lists the machines that have room for a task of the job that waits, none if no task waits.
func (m *model) couldStart(
	id string,
	j *modelJob,
	busy map[jobs.TaskID]bool,
	used map[string]float64,
	up []*machine,
	room map[*machine][2]float64,
) []*machine {
	s := j.spec
	if j.accepted.IsZero() || j.asked || j.mistaken || !j.cancelled.IsZero() ||
		m.anyNeed(id, func(x *modelJob) bool { return x.finished.IsZero() }) {
		return nil
	}
	waits := false
	zones, there := map[string]int{}, 0
	for t := range s.Tasks {
		k := jobs.TaskID{JobID: id, Index: t}
		waits = waits || !j.done[t] && !busy[k]
		for _, h := range m.where[k] {
			if m.holds(h) {
				zones[h.zone]++
				there++
			}
		}
	}
	if !waits {
		return nil
	}
	for _, t := range m.w.Opt.Teams {
		if t.Name == s.Team && t.CPULimit > 0 && used[s.Team]+s.CPUs > t.CPULimit {
			return nil
		}
	}
	return slices.DeleteFunc(slices.Clone(up), func(h *machine) bool {
		r := room[h]
		return !(h.notice.IsZero() && !h.faulty && !h.failed[id] && h.allows(s) && r[0] >= s.CPUs && r[1] >= s.MemoryGB &&
			(!s.SingleZone || there == zones[h.zone]) && (!s.SpreadAcrossZones || zones[h.zone] < (s.Tasks+1)/2))
	})
}

// allows reports whether tasks of the job may be on the machine at all.
func (m *machine) allows(s jobs.Spec) bool {
	return (len(s.MachineTypes) == 0 || slices.Contains(s.MachineTypes, m.flavor.Name)) && (s.Zone == "" || s.Zone == m.zone) &&
		(!m.spot || s.AllowsSpot)
}
