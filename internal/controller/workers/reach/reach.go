// Package reach keeps what each direction of a machine's link has shown: that it is heard, that it hears, since
// when and from which evidence. Its Book owns the links of a leadership. It decides which report is a copy and
// whether a machine gets starts; it sends nothing, and it never says that a task is gone.
//
// A report may come twice, and late; it proves that its machine lived when it was made. What is certainly fresh
// is an answer on a connection of our own, made after the question was sent. And a machine that is heard may
// hear nothing: what it was told to start never appears, its sessions end though it was answered, a question
// finds no answer. docs/design/reach.md has the ways that were weighed, and what breaks it.
package reach

import (
	"log/slog"
	"time"

	"gullrudder/internal/controller/workers"
)

// Verdict is what a report is taken for.
type Verdict int

// Verdicts.
const (
	Copy      Verdict = iota // or of a life of the machine that is over: nothing in it counts, and it gets no 200
	Overtaken                // by its machine's answer to a question of ours: answered, not believed
	Unproven                 // it may be as old as any: answered, not believed
	Fresh                    // newer than all that is known of its machine
)

const (
	// askAgain is how long a machine has to answer a question before it is asked again.
	askAgain = time.Second
	// unheard is after how many questions without an answer a machine counts as silent.
	unheard = 2
	// givenUp is how long a worker waits for an answer before it asks another controller. Two reports that
	// come here sooner after one another than prompt show that the first was answered.
	givenUp = 4 * time.Second
	prompt  = 3500 * time.Millisecond
	// deafened is how many answers that did not raise a machine's token show, with questions that were not
	// answered, that it does not hear them.
	deafened = 2
)

// Doubt is why a machine may not hear us.
type Doubt int

// Doubts.
const (
	None         Doubt = iota
	NoProof            // nothing has shown yet that it does
	StartsLost         // what it was told to start does not appear
	SessionEnded       // its session ended though its reports were answered
	NoAnswer           // a question was not answered
)

func (d Doubt) String() string {
	return [...]string{"none", "not proven yet", "starts do not appear", "its session ended though it was answered", "a question was not answered"}[d]
}

type link struct {
	doubt    Doubt
	since    time.Time // of the doubt, or of counting anew
	asked    time.Time // when a question was sent last
	unheard  int       // questions in a row that it did not answer
	overtook time.Time // when it answered one last
	session  uint64    // of its newest report
	seq      uint64
	reported time.Time // when that came
	granted  bool      // and was answered
	deafened int       // answers that have not raised its token
	reborn   bool      // it has begun to count anew: what comes is not told from copies until its session is a higher one
}

// Book keeps the links.
type Book struct {
	token uint64
	lease time.Duration
	log   *slog.Logger
	links map[string]*link
	want  []*workers.Machine // to be asked as soon as can be

	metrics *Metrics
}

// New makes the book of a new leadership. lease is how long a worker's lease lasts.
func New(token uint64, lease time.Duration, metrics *Metrics, log *slog.Logger) *Book {
	return &Book{token: token, lease: lease, metrics: metrics, log: log, links: map[string]*link{}}
}

func (b *Book) of(m *workers.Machine) *link {
	l := b.links[m.ID]
	if l == nil {
		l = &link{doubt: NoProof}
		b.links[m.ID] = l
	}
	return l
}

// Gone lets go of a machine.
func (b *Book) Gone(id string) { delete(b.links, id) }

// Report says what a report is. It is told of each before anything else is made of it.
func (b *Book) Report(now time.Time, m *workers.Machine, r *workers.Report) Verdict {
	v := b.verdict(now, m, r)
	b.metrics.report(v)
	return v
}

func (b *Book) verdict(now time.Time, m *workers.Machine, r *workers.Report) Verdict {
	l := b.of(m)
	if m.Up && (l.reborn && r.Session <= m.Session || m.Newer(r) && r.Token < b.token) {
		// A worker never forgets a token that it has seen: this one has begun anew. Until its session is a higher
		// one nothing tells what it sends from what is late of its earlier life, so it gets no 200 and its
		// session ends.
		b.born(now, m, l)
		return Copy
	}
	if m.Up && !m.Newer(r) {
		if r.Session == m.Session && (r.Session > l.session || r.Session == l.session && r.Seq > l.seq) && now.Sub(l.overtook) < givenUp {
			return Overtaken
		}
		return Copy
	}
	if r.Token != b.token && !m.Up {
		// It may come from before this leadership, and from a machine that is no more. What is there has our token
		// by the answer, and reports that at once.
		if l.unheard >= unheard && l.deafened >= deafened {
			// It was answered, and asked, and nothing has reached it: with a 200 each time its lease would never
			// be over for certain, and a takeover would wait for it for ever.
			return Copy
		}
		l.deafened++
		return Unproven
	}
	b.newer(now, m, l, r)
	return Fresh
}

// born takes in that the machine counts anew. What runs there is gone once an answer to a question tells so, or
// its lease is over.
func (b *Book) born(now time.Time, m *workers.Machine, l *link) {
	if !l.reborn {
		l.reborn, l.since = true, now
		b.log.Info("a machine has begun to count its sessions anew", "machine", m.ID, "session", m.Session)
		b.want = append(b.want, m)
	}
	m.Unreached = true
}

// newer takes in a report that is newer than all before.
func (b *Book) newer(now time.Time, m *workers.Machine, l *link, r *workers.Report) {
	same := r.Session == l.session
	switch {
	case m.Up && !same && l.session != 0 && now.Sub(m.Answered) < b.lease*4/5 && !l.reborn:
		b.doubts(now, m, l, SessionEnded)
		b.want = append(b.want, m)
	case l.doubt == NoProof && r.Token == b.token:
		b.trust(m, l)
	case l.doubt != None && same && l.granted && now.Sub(l.reported) < prompt && l.reported.After(l.since):
		b.trust(m, l)
	case l.doubt != None:
		b.want = append(b.want, m)
	}
	l.session, l.seq, l.reported, l.granted, l.reborn = r.Session, r.Seq, now, false, false
	m.Heard = now
	m.Unreached = l.doubt != None && l.unheard > 0
}

// Newest reports whether it is the newest report of its machine: only its answer has starts.
func (b *Book) Newest(m *workers.Machine, r *workers.Report) bool {
	l := b.of(m)
	return r.Session == l.session && r.Seq == l.seq
}

// Answered takes in that the machine's newest report gets a 200.
func (b *Book) Answered(m *workers.Machine) { b.of(m).granted = true }

// Ended takes in the attempts that a report of the machine has shown to be gone.
func (b *Book) Ended(now time.Time, m *workers.Machine, list []workers.Ended) {
	for _, e := range list {
		if e.Why == workers.Lost && e.Attempt.Seen == 0 && !e.Attempt.Unsent {
			b.doubts(now, m, b.of(m), StartsLost)
			b.want = append(b.want, m)
			return
		}
	}
}

func (b *Book) doubts(now time.Time, m *workers.Machine, l *link, d Doubt) {
	if l.doubt == None || l.doubt == NoProof {
		l.since = now
		b.metrics.doubts.WithLabelValues(d.String()).Inc()
		b.log.Debug("a machine may not hear us", "machine", m.ID, "why", d.String())
	}
	l.doubt = d
}

func (b *Book) trust(m *workers.Machine, l *link) {
	l.doubt, l.unheard, l.deafened = None, 0, 0
	m.Unreached = l.reborn
}

// Hears reports whether there is evidence that the machine hears us: if not it gets no starts.
func (b *Book) Hears(m *workers.Machine) bool {
	l := b.of(m)
	return l.doubt == None && !l.reborn
}

// Doubted reports whether something has shown that the machine may not hear us.
func (b *Book) Doubted(m *workers.Machine) bool {
	l := b.links[m.ID]
	return l != nil && (l.doubt > NoProof || l.reborn)
}

// Wanted are the machines that are to be asked as soon as can be: what they hear is in doubt.
func (b *Book) Wanted() []*workers.Machine {
	list := b.want
	b.want = nil
	return list
}

// Want has a machine asked as soon as can be, if it could not be.
func (b *Book) Want(m *workers.Machine) { b.want = append(b.want, m) }

// Due reports whether the machine may be asked now: not again before it has had time to answer.
func (b *Book) Due(now time.Time, m *workers.Machine) bool {
	l := b.of(m)
	return l.asked.IsZero() || now.Sub(l.asked) >= askAgain
}

// Question is one that was sent to a machine.
type Question struct{ session, seq uint64 }

// Ask takes in that a question is sent to the machine.
func (b *Book) Ask(now time.Time, m *workers.Machine) Question {
	b.of(m).asked = now
	return Question{m.Session, m.Seq}
}

// Answer takes in a machine's answer to a question: it hears us, and its report is certainly newer than all that
// was known when the question was sent. If its numbers say otherwise it has begun to count anew, and all that
// ran there before is gone: no answer to a report of its earlier life reaches it.
func (b *Book) Answer(now time.Time, m *workers.Machine, q Question, r *workers.Report) (reborn bool) {
	l := b.of(m)
	m.Heard, l.overtook = now, now
	b.metrics.questions.WithLabelValues("answered").Inc()
	l.unheard = 0
	if m.Up && (r.Session < q.session || r.Session == q.session && r.Seq <= q.seq) {
		b.born(now, m, l)
		return true
	}
	if r.Token == b.token {
		b.trust(m, l)
	}
	return false
}

// NoAnswer takes in that a machine did not answer a question.
func (b *Book) NoAnswer(now time.Time, m *workers.Machine) {
	l := b.of(m)
	b.metrics.questions.WithLabelValues("not answered").Inc()
	l.unheard++
	if l.doubt != NoProof {
		b.doubts(now, m, l, NoAnswer)
	}
}

// Silent reports whether the machine answers no questions, or counts anew for so long that it is better given
// back: sessions that it had before have to end one by one.
func (b *Book) Silent(now time.Time, m *workers.Machine) bool {
	l := b.links[m.ID]
	return l != nil && (l.unheard >= unheard || l.reborn && now.Sub(l.since) > 2*b.lease)
}
