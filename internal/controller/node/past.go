package node

import (
	"time"

	"gullrudder/internal/controller/history"
)

const (
	// pastShare is the part of the state service's limits that the history may use.
	pastShare = 0.1
	// notNow is when a user is told to ask again about an old job that cannot be looked up.
	notNow = time.Second
)

// readHistory makes the keeper of the finished jobs. While it cannot tell which jobs there
// were, nobody is answered: an accepted job must not be called unknown.
func (n *Node) readHistory() bool {
	l := n.lead
	keeper, err := history.New(l.ledger, history.Options{
		ValueBytes: n.cfg.ValueBytes, TxnOps: n.cfg.TxnOps, WriteRate: n.cfg.StateWrites * pastShare, ReadRate: n.cfg.StateRate * pastShare,
		Least: l.options.SealJobs, Fan: n.opt.MergeRuns,
		Ready: func(now time.Time, id string) bool {
			f, ok := l.finals[id]
			return ok && now.Sub(f.since) >= l.options.SealAfter
		},
		Final: func(id string) (history.Final, bool) {
			f, ok := l.finals[id]
			return history.Final{Cancelled: !f.done, Tasks: f.tasks}, ok
		},
		Sealed: func(ids []string) {
			for _, id := range ids {
				delete(l.finals, id)
			}
		},
	}, n.log)
	if err != nil {
		l.damaged = true
		n.log.Error("the history of finished jobs cannot be read: nothing is answered", "error", err)
		return false
	}
	l.history = keeper
	return true
}

// past answers a request for a job that is finished and sealed. It returns false if no run of
// the history holds the job. If only the data of the history can tell, it is read first, and
// absent goes on if the job is not there; until then nobody knows it.
func (n *Node) past(now time.Time, r *Request, id string, counts bool, absent func(now time.Time)) bool {
	l := n.lead
	known := l.history.Know(id)
	switch {
	case known == history.Absent:
		return false
	case known == history.Cancelled:
		n.reply(r, 200, finalAnswer(id, final{}, counts), 0)
		return true
	case known == history.Done && !counts:
		n.reply(r, 200, finalAnswer(id, final{done: true}, false), 0)
		return true
	}
	l.history.Resolve(now, &n.box, id, func(now time.Time, f history.Final, found bool, err error) {
		switch {
		case n.lead != l || !n.acting:
			n.refuse(r, 503, "no leader at present", comeBack)
		case found:
			n.reply(r, 200, finalAnswer(id, final{done: !f.Cancelled, tasks: f.Tasks}, counts), 0)
		case err == nil && known == history.Perhaps:
			absent(now)
		case known == history.Done && l.history.Unreachable(now):
			// Its state is certain; the counts are for display and would keep it from the user.
			n.reply(r, 200, finalAnswer(id, final{done: true}, false), 0)
		default:
			if err != nil {
				n.log.Info("an old job cannot be looked up", "job", id, "error", err)
			}
			n.refuse(r, 503, "finished jobs cannot be looked up now", notNow)
		}
	})
	return true
}
