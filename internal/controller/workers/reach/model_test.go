package reach

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"pgregory.net/rapid"

	"gullrudder/internal/controller/jobs"
	"gullrudder/internal/controller/workers"
)

const (
	token = 7
	lease = 20 * time.Second
)

func book() *Book {
	return New(token, lease, NewMetrics(prometheus.NewRegistry()), slog.New(slog.DiscardHandler))
}

func nobody(string) *jobs.Job { return nil }

// worker is the plain model of a machine: what it has sent, and what it has heard.
type worker struct {
	session, seq, token uint64
	life                int
	sent                []sent
}

type sent struct {
	r    workers.Report
	life int
	at   time.Time
}

func (w *worker) report(now time.Time) sent {
	w.seq++
	s := sent{workers.Report{Machine: "vm-1", Addr: "vm-1", Session: w.session, Seq: w.seq, Token: w.token}, w.life, now}
	w.sent = append(w.sent, s)
	return s
}

// Whatever is lost, late or repeated, and however often the machine begins anew: what is taken for new was made
// after all that was taken for new before; a copy of what was taken in is never new; and a machine of which
// nothing that it was told has arrived since the leadership began gets no starts.
func TestNothingOldIsNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := book(), time.Unix(1000, 0)
		w := &worker{session: 1}
		m := &workers.Machine{ID: "vm-1", Rostered: rapid.Bool().Draw(t, "rostered"), Attempts: map[jobs.Key]*jobs.Attempt{}}
		fleet := workers.NewFleet(lease, slog.New(slog.DiscardHandler))
		newest, heard := time.Time{}, false
		taken := map[int]bool{}
		for step := range rapid.IntRange(5, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms")) * time.Millisecond)
			switch kind := rapid.IntRange(0, 9).Draw(t, "kind"); {
			case kind == 9: // it begins anew
				w.life++
				w.token, w.seq, w.session = 0, 0, 1
				if rapid.Bool().Draw(t, "counts") {
					w.session = m.Session + 1
				}
			case kind == 8: // its lease ends
				w.session++
				w.seq = 0
			case kind >= 6: // it is asked, and its answer comes or not
				q := b.Ask(now, m)
				if rapid.Bool().Draw(t, "lost") {
					b.NoAnswer(now, m)
					continue
				}
				w.token, heard = token, true
				s := w.report(now)
				reborn := b.Answer(now, m, q, &s.r)
				if reborn && m.Up && newest.After(s.at) {
					t.Fatalf("step %d: counts anew by an old answer", step)
				}
				if !reborn && s.r.Token == token && m.Newer(&s.r) && !m.Up {
					fleet.Observe(now, m, &s.r, false, nobody)
					m.Accounted, newest = true, s.at
				}
			default: // a report comes: its newest, or one of before
				at := rapid.IntRange(0, 2*len(w.sent)).Draw(t, "which")
				if at >= len(w.sent) {
					at = len(w.sent)
					w.report(now)
				}
				s := w.sent[at]
				is := b.Report(now, m, &s.r)
				switch {
				case is == Fresh && taken[at]:
					t.Fatalf("step %d: the same report is new twice", step)
				case is == Fresh && s.life == w.life && s.at.Before(newest) && w.life == 0:
					t.Fatalf("step %d: a report of %v is new after one of %v", step, s.at, newest)
				case is == Fresh:
					taken[at] = true
					fleet.Observe(now, m, &s.r, true, nobody)
					m.Accounted, newest = true, s.at
				}
				if is != Copy && s.life == w.life && s.r.Session == w.session && rapid.Bool().Draw(t, "heard") {
					m.Answered = now
					w.token, heard = token, true
					if is == Fresh {
						b.Answered(m)
					}
				}
			}
			if b.Hears(m) && !heard {
				t.Fatalf("step %d: gets starts though nothing has reached it", step)
			}
		}
	})
}

// What was seen of each kind, step by step.
func TestVerdicts(t *testing.T) {
	now := time.Unix(1000, 0)
	start := func(b *Book, m *workers.Machine, r workers.Report) Verdict {
		v := b.Report(now, m, &r)
		if v == Fresh {
			workers.NewFleet(lease, slog.New(slog.DiscardHandler)).Observe(now, m, &r, true, nobody)
			m.Accounted = true
		}
		return v
	}
	rep := func(session, seq, tok uint64) workers.Report {
		return workers.Report{Machine: "vm-1", Session: session, Seq: seq, Token: tok}
	}
	for name, c := range map[string]struct {
		reports []workers.Report
		want    string
	}{
		"in order, then copies in any order":        {[]workers.Report{rep(1, 1, token), rep(1, 2, token), rep(1, 1, token), rep(1, 2, token), rep(1, 3, token)}, "[3 3 0 0 3]"},
		"under an older token it may be of any age": {[]workers.Report{rep(4, 9, token-1), rep(4, 10, token)}, "[2 3]"},
		"a new session":                        {[]workers.Report{rep(1, 8, token), rep(2, 1, token), rep(1, 9, token)}, "[3 3 0]"},
		"it begins anew, and its session ends": {[]workers.Report{rep(1, 3, token), rep(1, 1, 0), rep(1, 4, 0), rep(1, 5, token), rep(2, 1, token)}, "[3 0 0 0 3]"},
	} {
		b, m := book(), &workers.Machine{ID: "vm-1", Rostered: true, Attempts: map[jobs.Key]*jobs.Attempt{}}
		var got []Verdict
		for _, r := range c.reports {
			got = append(got, start(b, m, r))
		}
		if s := fmt.Sprint(got); s != c.want {
			t.Errorf("%s: %s, want %s", name, s, c.want)
		}
	}
}

// A machine that is heard and hears nothing: its starts do not appear, it gets no more, and after two questions
// without an answer it counts as silent, however punctual its reports are. If it answers again it goes on.
func TestHeardIsNotObeyed(t *testing.T) {
	b, now := book(), time.Unix(1000, 0)
	m := &workers.Machine{ID: "vm-1", Rostered: true, Attempts: map[jobs.Key]*jobs.Attempt{}}
	fleet := workers.NewFleet(lease, slog.New(slog.DiscardHandler))
	seq := uint64(0)
	report := func() Verdict {
		seq++
		now = now.Add(5 * time.Second) // a worker that got no answer comes back after five seconds
		r := workers.Report{Machine: m.ID, Session: 1, Seq: seq, Token: token}
		v := b.Report(now, m, &r)
		if v == Fresh {
			b.Ended(now, m, fleet.Observe(now, m, &r, true, nobody))
			m.Accounted = true
			b.Answered(m)
		}
		return v
	}
	report()
	if !b.Hears(m) {
		t.Fatal("no starts though it has seen our token")
	}
	j := jobs.NewJob(jobs.Spec{ID: "job-1", Tasks: 1, CPUs: 1}, now)
	fleet.Place(m, &jobs.Attempt{Key: jobs.Key{Job: "job-1"}, Number: 1, Machine: m.ID, Job: j, Assigned: now})
	report()
	if d := b.of(m).doubt; b.Hears(m) || d != StartsLost || len(b.Wanted()) == 0 {
		t.Errorf("doubt %v, and it gets starts %v", d, b.Hears(m))
	}
	for range 2 {
		b.Ask(now, m)
		b.NoAnswer(now, m)
		report()
	}
	if !b.Silent(now, m) || !m.Unreached {
		t.Error("reports, and hears nothing: not known")
	}
	q := b.Ask(now, m)
	seq++
	b.Answer(now, m, q, &workers.Report{Machine: m.ID, Session: 1, Seq: seq, Token: token})
	if b.Silent(now, m) || m.Unreached || !b.Hears(m) {
		t.Error("it answers, and gets no starts")
	}
}
