package main

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"time"

	"gullrudder/internal/simulator/crashtest"
	"gullrudder/internal/wire/codec"
)

// probe commits to keys of its own and knows what has to be there.
type probe struct {
	f       *field
	id      int
	rng     *rand.Rand
	model   map[string]probeKey
	open    []crashtest.Op // of a commit that nobody answered
	tide    uint64         // the highest revision that was answered
	n       int
	commits int
	doubts  int
}

type probeKey struct {
	value string
	mark  uint64
}

func (p *probe) prefix() string { return fmt.Sprintf("probe/%d/", p.id) }

func (p *probe) run() {
	defer p.f.wait.Done()
	for {
		select {
		case <-p.f.stop:
			return
		default:
		}
		p.f.pause.RLock()
		if p.open == nil {
			p.commit()
		} else {
			p.look()
		}
		p.f.pause.RUnlock()
		time.Sleep(time.Duration(p.rng.IntN(3000)) * time.Microsecond)
	}
}

func (p *probe) commit() {
	var guards []crashtest.Guard
	var ops []crashtest.Op
	seen := map[string]bool{}
	for range 1 + p.rng.IntN(4) {
		key := fmt.Sprintf("%s%02d", p.prefix(), p.rng.IntN(40))
		if seen[key] {
			continue
		}
		seen[key] = true
		p.n++
		o := crashtest.Op{Key: key, Value: fmt.Sprintf("%d-%0*d", p.n, 1+p.rng.IntN(400), 0)}
		if p.rng.IntN(5) == 0 && p.model[key].mark > 0 {
			o.Value = ""
		}
		guards = append(guards, crashtest.Guard{Key: key, Mark: p.model[key].mark})
		ops = append(ops, o)
	}
	r := crashtest.Commit(guards, ops)
	m, err := p.f.client.Do(p.f.addr, r.Method, r.Target, r.Body, 2*time.Second)
	var a struct {
		Tide uint64 `msgpack:"tide"`
	}
	switch {
	case err != nil:
		p.open = ops
		p.doubts++
	case m.Status == 200 && codec.Unmarshal(m.Body, &a) == nil:
		if a.Tide <= p.tide {
			p.f.broke("probe %d: revision %d after %d", p.id, a.Tide, p.tide)
		}
		p.commits++
		p.settle(ops, a.Tide)
	case m.Status == 503:
	default:
		p.f.broke("probe %d: a commit with the marks that were answered gets %d", p.id, m.Status)
	}
}

func (p *probe) settle(ops []crashtest.Op, tide uint64) {
	p.tide = max(p.tide, tide)
	p.open = nil
	for _, o := range ops {
		if o.Value == "" {
			delete(p.model, o.Key)
		} else {
			p.model[o.Key] = probeKey{o.Value, tide}
		}
	}
}

// look compares what is there with what was answered. A commit without an answer is there as a
// whole or not at all.
func (p *probe) look() {
	there, tide, ok := p.list()
	if !ok {
		return
	}
	if tide < p.tide {
		p.f.broke("probe %d: revision %d, answered was %d", p.id, tide, p.tide)
	}
	if p.open != nil {
		executed := false
		for _, o := range p.open {
			now, have := there[o.Key]
			if o.Value != "" && have && now.value == o.Value {
				executed = true
				tide = now.mark
			}
			if o.Value == "" && !have {
				executed = true
			}
		}
		ops := p.open
		p.open = nil
		if executed {
			p.settle(ops, tide)
			for _, o := range ops { // drops alone have no mark to be seen
				if k, ok := p.model[o.Key]; ok {
					k.mark = there[o.Key].mark
					p.model[o.Key] = k
				}
			}
		}
	}
	for key, want := range p.model {
		if there[key] != want {
			p.f.broke("probe %d: %s is %.20q at %d, answered was %.20q at %d", p.id, key, there[key].value, there[key].mark, want.value, want.mark)
		}
	}
	for key, k := range there {
		if _, ok := p.model[key]; !ok {
			p.f.broke("probe %d: %s has come back at %d", p.id, key, k.mark)
		}
	}
}

func (p *probe) list() (map[string]probeKey, uint64, bool) {
	there := map[string]probeKey{}
	q := url.Values{"starts": {p.prefix()}}
	m, err := p.f.client.Do(p.f.addr, "GET", "/keys?"+q.Encode(), nil, 2*time.Second)
	var a struct {
		Entries []struct {
			Key   string `msgpack:"path"`
			Value string `msgpack:"value"`
			Mark  uint64 `msgpack:"mark"`
		} `msgpack:"entries"`
		Tide uint64 `msgpack:"tide"`
	}
	if err != nil || m.Status != 200 || codec.Unmarshal(m.Body, &a) != nil {
		return nil, 0, false
	}
	for _, e := range a.Entries {
		there[e.Key] = probeKey{e.Value, e.Mark}
	}
	return there, a.Tide, true
}

// check has every probe look, with nothing under way.
func (f *field) check() {
	f.pause.Lock()
	defer f.pause.Unlock()
	for _, p := range f.probes {
		p.look()
	}
}
