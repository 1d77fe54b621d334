package node

import (
	"strings"
	"time"

	"gullrudder/internal/config"
	"gullrudder/internal/wire/packed"
)

// Settings that were applied while the controllers run are an entry of the ledger: whoever leads
// has the same, and a restart changes nothing. Without one, each controller's own file counts.
const settingsName = "s:options"

const (
	// mostSettings bounds the text that is kept, mostChanges the record of who changed what.
	mostSettings = 1 << 10
	mostChanges  = 12
	longestWho   = 60
	// settingsReserve is what the entry may come to need of its page, which it never leaves.
	settingsReserve = 3000
)

type settingsEntry struct {
	Text    string   `msgpack:"x" json:"x"`
	Version int      `msgpack:"v" json:"v"`
	Changes []Change `msgpack:"c" json:"c"`
}

func (e *settingsEntry) size() int {
	raw, err := packed.Marshal(e)
	if err != nil {
		return settingsReserve + 1
	}
	return packed.JSONSize(raw)
}

// Change is one line of the record: who changed what, and when.
type Change struct {
	Version int      `msgpack:"v" json:"version"`
	At      int64    `msgpack:"t" json:"at"` // seconds since 1970
	Who     string   `msgpack:"w" json:"who"`
	What    []string `msgpack:"c" json:"what"`
}

// Settings is what `gullrudder settings` shows. Version 0: the controllers' own files.
type Settings struct {
	Version int            `msgpack:"version" json:"version"`
	Values  []config.Value `msgpack:"values" json:"values"`
	Changes []Change       `msgpack:"changes" json:"changes"`
}

// SettingsRequest asks for other settings.
type SettingsRequest struct {
	Who  string `msgpack:"who"`
	Text string `msgpack:"text"`
}

func (n *Node) showSettings(_ time.Time, r *Request) { n.reply(r, 200, n.settings(), 0) }

func (n *Node) settings() Settings {
	s := Settings{Values: n.lead.options.Values(), Changes: []Change{}}
	if e := n.lead.settings; e != nil {
		s.Version, s.Changes = e.Version, e.Changes
	}
	return s
}

// applySettings takes other settings, all or none. They count once they are durable.
func (n *Node) applySettings(now time.Time, r *Request) {
	l := n.lead
	var a SettingsRequest
	if err := packed.Unmarshal(r.Body, &a); err != nil || len(a.Text) > mostSettings || a.Who == "" || len(a.Who) > longestWho {
		n.refuse(r, 400, "settings have a text of at most 1 KiB, and the name of who changes them", 0)
		return
	}
	opt, err := config.ParseOptions([]byte(a.Text))
	if err != nil {
		n.refuse(r, 400, err.Error(), 0)
		return
	}
	if opt.LeaderLease != n.opt.LeaderLease || opt.Promise != n.opt.Promise {
		// Every controller relies on the others' having the same, from its start.
		n.refuse(r, 400, "leader-lease and promise are read when a controller starts, from its own file", 0)
		return
	}
	changes := l.options.Changes(opt)
	if len(changes) == 0 {
		n.reply(r, 200, n.settings(), 0)
		return
	}
	if l.applying || !l.ledger.Healthy() {
		n.refuse(r, 503, "the state service does not take changes, or others are being saved", comeBack)
		return
	}
	e := &settingsEntry{Text: a.Text, Version: 1}
	if was := l.settings; was != nil {
		e.Version, e.Changes = was.Version+1, was.Changes
	}
	e.Changes = append([]Change{{Version: e.Version, At: now.Unix(), Who: a.Who, What: changes}}, e.Changes...)
	e.Changes = e.Changes[:min(len(e.Changes), mostChanges)]
	for len(e.Changes) > 1 && e.size() > settingsReserve {
		e.Changes = e.Changes[:len(e.Changes)-1]
	}
	l.applying = true
	answered := false
	err = l.ledger.Set(now, settingsName, e, settingsReserve, true, func(now time.Time, ok bool) {
		if ok {
			l.applying = false
			l.settings = e
			n.tune(opt)
			n.log.Info("settings applied", "version", e.Version, "who", a.Who, "what", strings.Join(changes, ", "))
		}
		if answered {
			return
		}
		answered = true
		if ok {
			n.reply(r, 200, n.settings(), 0)
		} else {
			n.refuse(r, 503, "not saved yet", 2*comeBack)
		}
	})
	if err != nil {
		l.applying = false
		n.refuse(r, 400, "too large to be kept: "+err.Error(), 0)
	}
}

// tune makes the leadership follow the settings. The election's stay as they are.
func (n *Node) tune(opt config.Options) {
	l := n.lead
	opt.LeaderLease, opt.Promise = n.opt.LeaderLease, n.opt.Promise
	l.options = opt
	l.planner.Tune(opt)
	l.history.Tune(opt.SealJobs, opt.MergeRuns)
	l.stale = true
}

// restoreSettings reads the ledger's entry at a takeover. One that this version cannot read is
// left as it is: the controller's own file counts.
func (n *Node) restoreSettings(decode func(any) error) {
	var e settingsEntry
	err := decode(&e)
	var opt config.Options
	if err == nil {
		opt, err = config.ParseOptions([]byte(e.Text))
	}
	if err != nil {
		n.log.Error("the settings in the ledger cannot be read", "error", err)
		return
	}
	n.lead.settings = &e
	n.lead.ledger.Reserve(settingsName, settingsReserve)
	n.tune(opt)
}
