package main

import (
	"math/rand/v2"
	"net/http"
	"time"

	"gullrudder/internal/wire/codec"
)

func (j *job) submission() codec.Object {
	rig, estimate := "array", j.run.Seconds()
	if j.service {
		rig, estimate = "service", 0
	}
	o := codec.Object{
		"id": j.id, "berth": "tally-merge", "crew": j.crew, "rig": rig, "heading": "standard", "strokes": j.tasks,
		"cpus": j.cpus, "cards": 0.0, "mem_gb": j.mem, "hull": j.image, "image_gb": j.imageGB, "keels": nil, "harbour": nil,
		"one_zone": j.oneZone, "spread": j.spread, "driftwood": j.spot,
		"voyage_s": estimate, "mooring_s": j.saves, "tieup_s": j.tieup, "landfall_s": nil,
	}
	if j.zone != "" {
		o["harbour"] = j.zone
	}
	if len(j.keels) > 0 {
		o["keels"] = anyList(j.keels)
	}
	if len(j.tows) > 0 {
		o["tows"] = anyList(j.tows)
	}
	return o
}

func anyList(list []string) []any {
	var out []any
	for _, s := range list {
		out = append(out, s)
	}
	return out
}

func (l *lab) add(j *job) {
	l.check.mu.Lock()
	defer l.check.mu.Unlock()
	l.check.jobs[j.id] = j
}

// submit submits a job as a user does: with retries for 60 s. It reports whether the job was accepted.
func (l *lab) submit(client *http.Client, j *job) bool {
	l.add(j)
	return l.insist(client, http.MethodPost, "/work", j.submission())
}

func (l *lab) withdraw(client *http.Client, j *job) bool {
	l.check.mu.Lock()
	j.cancelAsked = true
	l.check.mu.Unlock()
	return l.insist(client, http.MethodPost, "/work/"+j.id+"/withdraw", nil)
}

func (l *lab) insist(client *http.Client, method, path string, body codec.Object) bool {
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); {
		n := l.nodes[rand.IntN(len(l.nodes))]
		status, _, after := l.ask(client, n, method, path, body, 5*time.Second)
		if status == 200 || status == 201 {
			return true
		}
		if status == 400 || status == 422 || status == 404 {
			return false
		}
		time.Sleep(max(min(after, 30*time.Second), time.Second))
	}
	return false
}

func (l *lab) poll(client *http.Client, j *job) string {
	n := l.nodes[rand.IntN(len(l.nodes))]
	_, trim, _ := l.ask(client, n, http.MethodGet, "/work/"+j.id, nil, 2*time.Second)
	return trim
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 20 * time.Second}}
}
