package workers

import (
	"log/slog"
	"slices"
	"sort"
	"time"

	"gullrudder/internal/controller/jobs"
)

// Machine is one worker's machine as the leader knows it.
type Machine struct {
	ID, Addr, Type, Zone string
	Spot                 bool
	CPUs, Cards, Mem     float64 // 0 until the type is known

	Session, Seq uint64
	Up           bool      // has reported to this leadership
	Accounted    bool      // its tasks are known to this leadership
	Answered     time.Time // when we last sent it a 200
	Heard        time.Time // when it last lived for certain: a new report, or an answer to a question (set by reach)
	Unreached    bool      // it reports, and seems to hear nothing of us (set by reach)
	Attempts     map[jobs.Key]*jobs.Attempt
	UsedCPU      float64
	UsedCards    float64
	UsedMem      float64

	Rostered  bool      // the ledger says that it may hold tasks
	Enrolling bool      // that is on its way into the ledger
	NoticeAt  time.Time // when the cloud takes it away; zero: no notice
	Draining  Drain
	IdleSince time.Time
	RoomFrom  time.Time       // no start before this, after a refusal for room
	Failed    map[string]bool // jobs that ended here with an error
	HeldFor   *jobs.Job       // the job that its free room is held for
	Ear       bool            // kept, though silent, to tell of its zone's return
	Store     Store           // for images

	level, slot int // where it stands in the fleet's levels; level 0: nowhere
}

const grain = 1e-6

// Room is what tasks take or find on a machine.
type Room struct{ CPUs, Cards, Mem float64 }

// Fits is how many tasks of the job there is room for.
func (r Room) Fits(j *jobs.Job) int {
	n := fits(j.Tasks, j.CPUs, r.CPUs)
	n = fits(n, j.Cards, r.Cards)
	return max(fits(n, j.Mem, r.Mem), 0)
}

func fits(n int, need, free float64) int {
	if need <= 0 {
		return n
	}
	return min(n, int((free+grain)/need))
}

// Take is the room that is left beside so many tasks of the job.
func (r Room) Take(j *jobs.Job, tasks int) Room {
	k := float64(tasks)
	return Room{r.CPUs - k*j.CPUs, r.Cards - k*j.Cards, r.Mem - k*j.Mem}
}

// Free is the room that is not taken.
func (m *Machine) Free() Room {
	return Room{m.CPUs - m.UsedCPU, m.Cards - m.UsedCards, m.Mem - m.UsedMem}
}

// Fits is how many more tasks of the job the machine has room for.
func (m *Machine) Fits(j *jobs.Job) int { return m.Free().Fits(j) }

// Holds is how many tasks of the job the machine has room for when nothing else runs.
func (m *Machine) Holds(j *jobs.Job) int { return Room{m.CPUs, m.Cards, m.Mem}.Fits(j) }

func (m *Machine) add(a *jobs.Attempt) {
	m.Attempts[a.Key] = a
	if a.Job != nil {
		m.Store.Use(a.Job.Image, a.Job.ImageGB)
		m.UsedCPU += a.Job.CPUs
		m.UsedCards += a.Job.Cards
		m.UsedMem += a.Job.Mem
	}
}

func (m *Machine) remove(a *jobs.Attempt) {
	if m.Attempts[a.Key] != a {
		return
	}
	delete(m.Attempts, a.Key)
	if a.Job != nil {
		m.UsedCPU -= a.Job.CPUs
		m.UsedCards -= a.Job.Cards
		m.UsedMem -= a.Job.Mem
	}
	if len(m.Attempts) == 0 {
		m.UsedCPU, m.UsedCards, m.UsedMem = 0, 0, 0
	}
}

// Usage is what a team's tasks take, counting those whose fate is unknown.
type Usage struct{ CPUs, Cards float64 }

// Lookup finds a job by its id: nil if there is none that is unfinished.
type Lookup func(id string) *jobs.Job

// Ended is an attempt that is known to be gone.
type Ended struct {
	Attempt *jobs.Attempt
	Why     string // as reported; "lost" if the machine just lacks it
	Saved   bool
}

// Lost is the reason of an attempt that is gone without a word.
const Lost = "lost"

// margin is added to every span after which something is taken for gone.
const margin = 500 * time.Millisecond

// LeaseEnd is how long after our last 200 a worker's tasks may still be there. The worker counts
// from when it sent the report, which was before; its clock may run slow.
func LeaseEnd(lease time.Duration) time.Duration { return lease + lease/500 + margin }

// Fleet is all machines that this leadership knows.
type Fleet struct {
	Machines map[string]*Machine
	Teams    map[string]*Usage
	levels   [Levels + 1][]*Machine // the machines that are up, by how full they are
	looks    uint64                 // reports taken in
	lease    time.Duration
	log      *slog.Logger
}

// NewFleet makes an empty one. lease is how long a machine's tasks may outlive the last
// 200 that it was sent, margin included.
func NewFleet(lease time.Duration, log *slog.Logger) *Fleet {
	return &Fleet{Machines: map[string]*Machine{}, Teams: map[string]*Usage{}, lease: lease, log: log}
}

// Lease is how long a machine's tasks may outlive the last 200 that it was sent, margin included.
func (f *Fleet) Lease() time.Duration { return f.lease }

// Machine finds or makes a machine.
func (f *Fleet) Machine(id string) *Machine {
	m := f.Machines[id]
	if m == nil {
		m = &Machine{ID: id, Attempts: map[jobs.Key]*jobs.Attempt{}, Failed: map[string]bool{}}
		f.Machines[id] = m
	}
	return m
}

// Sorted lists the machines by name.
func (f *Fleet) Sorted() []*Machine {
	list := make([]*Machine, 0, len(f.Machines))
	for _, m := range f.Machines {
		list = append(list, m)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	return list
}

// Levels is into how many groups the machines that are up are divided by the share of their
// CPUs that is taken. On the last one no CPU is free.
const Levels = 17

// Level lists the machines of a level, 1 to Levels. It is for looking only.
func (f *Fleet) Level(level int) []*Machine { return f.levels[level] }

// Up lists the machines that are up, the emptiest levels first.
func (f *Fleet) Up() []*Machine { return slices.Concat(f.levels[1:]...) }

// LevelOf is the level of a machine, 0 if it is on none.
func (m *Machine) LevelOf() int { return m.level }

// arrange puts a machine on the level where it belongs now.
func (f *Fleet) arrange(m *Machine) {
	level := 0
	switch {
	case !m.Up || m.CPUs+m.Mem == 0:
	case m.CPUs-m.UsedCPU < grain:
		level = Levels
	default:
		level = 1 + min(int(max(m.UsedCPU, 0)/m.CPUs*(Levels-1)), Levels-2)
	}
	if level == m.level {
		return
	}
	if list := f.levels[m.level]; m.level > 0 {
		last := list[len(list)-1]
		list[m.slot], last.slot = last, m.slot
		f.levels[m.level] = list[:len(list)-1]
	}
	m.level = level
	if level > 0 {
		m.slot = len(f.levels[level])
		f.levels[level] = append(f.levels[level], m)
	}
}

// Measure records what the machine has.
func (f *Fleet) Measure(m *Machine, r Room, cacheGB, fetchRate float64) {
	m.CPUs, m.Cards, m.Mem = r.CPUs, r.Cards, r.Mem
	m.Store.SizeGB, m.Store.Rate = cacheGB, fetchRate
	f.arrange(m)
}

// Remove lets go of a machine that is gone, after Clear.
func (f *Fleet) Remove(m *Machine) {
	m.Up = false
	f.arrange(m)
	delete(f.Machines, m.ID)
}

// Team is the usage of a team.
func (f *Fleet) Team(name string) *Usage {
	u := f.Teams[name]
	if u == nil {
		u = &Usage{}
		f.Teams[name] = u
	}
	return u
}

// Place records an attempt that is about to be started on the machine.
func (f *Fleet) Place(m *Machine, a *jobs.Attempt) {
	m.add(a)
	f.arrange(m)
	if a.Job == nil {
		return
	}
	u := f.Team(a.Job.Team)
	u.CPUs += a.Job.CPUs
	u.Cards += a.Job.Cards
	if !a.Stray {
		a.Job.Attach(a)
	}
}

// release takes an attempt off its machine: it is known to be gone.
func (f *Fleet) release(m *Machine, a *jobs.Attempt) {
	m.remove(a)
	f.arrange(m)
	if a.Job == nil {
		return
	}
	u := f.Team(a.Job.Team)
	u.CPUs -= a.Job.CPUs
	u.Cards -= a.Job.Cards
	a.Job.Detach(a)
}

// Newer reports whether the report is newer than what is known of its machine.
func (m *Machine) Newer(r *Report) bool {
	if !m.Up {
		return true
	}
	return r.Session > m.Session || r.Session == m.Session && r.Seq > m.Seq
}

// Observe takes in a report that is newer than all before. whole is false for the answer
// to a direct command: it may have been made before the worker got the start commands of
// a response that is still on its way, so a task that it lacks is not gone.
func (f *Fleet) Observe(now time.Time, m *Machine, r *Report, whole bool, find Lookup) []Ended {
	if !m.Up {
		m.Up = true
		m.IdleSince = now
		f.arrange(m)
	}
	f.looks++
	newSession := r.Session != m.Session
	m.Session, m.Seq = r.Session, r.Seq
	m.Addr, m.Type, m.Zone, m.Spot = r.Addr, r.Type, r.Zone, r.Spot
	f.notice(now, m, r)
	var ended []Ended
	for i := range r.Tasks {
		t := &r.Tasks[i]
		key, err := jobs.ParseKey(t.Task)
		if err != nil {
			f.log.Info("a worker reports an impossible task", "machine", m.ID, "task", t.Task)
			continue
		}
		a := m.Attempts[key]
		if t.State == StateExited {
			if a != nil && a.Number == t.Attempt {
				f.release(m, a)
				ended = append(ended, Ended{a, t.Why, t.Saved})
			} else if t.Why == WhyDone {
				// Done by an attempt of which we hold nothing, such as one that an
				// earlier leader started: its result counts all the same.
				ended = append(ended, Ended{&jobs.Attempt{Key: key, Number: t.Attempt, Machine: m.ID, Zone: m.Zone, Job: find(key.Job)}, WhyDone, false})
			}
			continue
		}
		if a == nil || a.Number != t.Attempt {
			if a != nil {
				f.release(m, a)
				ended = append(ended, Ended{a, Lost, false})
			}
			a = f.adopt(now, m, key, t.Attempt, find)
		}
		a.Seen = f.looks
		switch {
		case t.State == StateRunning && a.Job != nil:
			a.Job.SawRunning(a, now)
		case t.State == StateSaving:
			a.Saving = true
		}
	}
	if whole || newSession {
		for _, a := range m.Attempts {
			if a.Seen != f.looks && !a.Unsent {
				f.release(m, a)
				ended = append(ended, Ended{a, Lost, false})
			}
		}
	}
	if len(m.Attempts) > 0 {
		m.IdleSince = now
	}
	return ended
}

func (f *Fleet) notice(now time.Time, m *Machine, r *Report) {
	if r.Notice == nil {
		return
	}
	if m.NoticeAt.IsZero() {
		f.log.Info("the cloud takes a machine back", "machine", m.ID, "in", *r.Notice)
	}
	m.NoticeAt = now.Add(time.Duration(max(min(*r.Notice, 3600), 0) * float64(time.Second)))
	if m.Draining == InUse {
		m.Draining = Noticed
	}
}

// adopt takes in an attempt of which we hold nothing. Unless its task may run here, it
// is a stray: it holds its place until it is gone, and is to be stopped.
func (f *Fleet) adopt(now time.Time, m *Machine, key jobs.Key, number uint64, find Lookup) *jobs.Attempt {
	j := find(key.Job)
	a := &jobs.Attempt{Key: key, Number: number, Machine: m.ID, Zone: m.Zone, Job: j, Assigned: now}
	a.Stray = j == nil || key.Task >= j.Tasks || !j.Live() || j.IsDone(key.Task) || j.Active[key.Task] != nil
	if j != nil && key.Task >= j.Tasks {
		a.Job = nil
	}
	f.Place(m, a)
	return a
}

// Unbook takes back an attempt whose start was never sent.
func (f *Fleet) Unbook(m *Machine, a *jobs.Attempt) { f.release(m, a) }

// Expired reports whether the worker's lease has ended for certain, so that it holds no
// task any more.
func (f *Fleet) Expired(now time.Time, m *Machine) bool { return now.Sub(m.Answered) > f.lease }

// Clear takes all attempts off a machine that is known to hold none.
func (f *Fleet) Clear(m *Machine) []Ended {
	var ended []Ended
	for _, a := range m.Attempts {
		f.release(m, a)
		ended = append(ended, Ended{a, Lost, false})
	}
	return ended
}
