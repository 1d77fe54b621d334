package rental

import (
	"time"

	"gullrudder/internal/controller/fleet"
)

const (
	// fewest machines of a zone that have to be silent for it to count as cut off.
	fewest = 3
	// probeEvery is how often a machine is rented in a zone that is cut off, to learn of its return.
	probeEvery = 20 * time.Second
)

// zone is what is known of a zone's connection to us.
type zone struct {
	heard time.Time // a machine of the zone has reported, or the leadership began
	known int       // machines that should be up there
	had   int       // the most of these since it was heard last: the silent ones are given back soon
	dark  bool
	probe time.Time // when a machine was last rented there to learn of its return
}

// lookAtZones finds the zones that are cut off: none of their machines has been heard for as long as
// two of them would have reported twice, and those of other zones have. What is rented there boots,
// costs, and cannot be used; once three hundred machines were taken for coming all through a cut.
func (d *Desk) lookAtZones(now time.Time) {
	for _, z := range d.zones {
		z.known = 0
	}
	for i := range d.held {
		h, m := d.held[i].host, d.held[i].m
		z := d.zones[h.Kind.Zone]
		if z == nil {
			z = &zone{heard: d.since}
			d.zones[h.Kind.Zone] = z
		}
		if m != nil || h.State == fleet.Running {
			z.known++
		}
		if m != nil && m.Up && m.Answered.After(z.heard) {
			z.heard, z.had = m.Answered, 0
		}
	}
	quiet := 2*d.cfg.ReportEvery*5/4 + 2*time.Second
	bright := false
	for _, z := range d.zones {
		z.had = max(z.had, z.known)
		bright = bright || now.Sub(z.heard) <= quiet
	}
	for name, z := range d.zones {
		dark := bright && now.Sub(z.heard) > quiet && z.had >= fewest
		if dark != z.dark {
			z.dark, z.probe = dark, now
			d.log.Info("a zone's connection", "zone", name, "cut", dark, "machines", z.had)
		}
	}
}

// dark reports that a zone is cut off: what is there is not counted on.
func (d *Desk) dark(name string) bool {
	z := d.zones[name]
	return z != nil && z.dark
}

// mayAsk is how many machines of a kind may be asked for now: in a zone that is cut off one at a time.
func (d *Desk) mayAsk(now time.Time, k fleet.Kind) int {
	if !d.cloud.Askable(now, k) {
		return 0
	}
	if !d.dark(k.Zone) {
		return d.cloud.MostAsked()
	}
	if now.Sub(d.zones[k.Zone].probe) < probeEvery {
		return 0
	}
	return 1
}
