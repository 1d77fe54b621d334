// Package modelcheck explores every schedule of a small model up to a depth. States are distinguished by
// their keys, and each is expanded once. It knows nothing of what is modelled. A model need not be copyable: it
// is replayed from its beginning for each state, which costs little for small models.
package modelcheck

import (
	"hash/maphash"
	"math/rand/v2"
	"runtime"
	"sync"
)

// Model is a deterministic state machine: the same moves always lead to the same state.
type Model interface {
	// Moves lists the moves that are possible in this state.
	Moves() []string
	// Do makes a move.
	Do(move string)
	// Key identifies the state: two models with the same key behave the same from here on.
	Key() string
	// Broken describes the rule that is broken, empty if none is.
	Broken() string
}

// Result of an exploration.
type Result struct {
	States      int
	Depth       int      // length of the longest schedule
	IsTruncated bool     // there were more states than allowed
	Violation   string   // the first rule that was broken
	Schedule    []string // the moves that break it
}

type state struct {
	parent *state
	move   string
	depth  int
}

func (n *state) moves() []string {
	list := make([]string, n.depth)
	for ; n.parent != nil; n = n.parent {
		list[n.depth-1] = n.move
	}
	return list
}

// successor is the state that a move leads to.
type successor struct {
	next   *state
	key    uint64
	broken string
}

// CheckAll explores all schedules of up to depth moves, breadth first, until a rule is broken or most states were found.
func CheckAll(begin func() Model, depth, most int) Result {
	seed := maphash.MakeSeed()
	met := map[uint64]bool{}
	var r Result
	level := []*state{{}}
	for d := 1; d <= depth && len(level) > 0; d++ {
		var next []*state
		for _, list := range expand(begin, level, seed) {
			for _, f := range list {
				if f.broken != "" {
					r.Violation, r.Schedule = f.broken, f.next.moves()
					return r
				}
				if met[f.key] {
					continue
				}
				met[f.key] = true
				r.States++
				r.Depth = d
				if r.States >= most {
					r.IsTruncated = true
					return r
				}
				next = append(next, f.next)
			}
		}
		level = next
	}
	return r
}

// expand makes every move from each of the states, in parallel.
func expand(begin func() Model, level []*state, seed maphash.Seed) [][]successor {
	all := make([][]successor, len(level))
	var wait sync.WaitGroup
	work := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for i := range work {
				all[i] = successors(begin, level[i], seed)
			}
		})
	}
	for i := range level {
		work <- i
	}
	close(work)
	wait.Wait()
	return all
}

func successors(begin func() Model, at *state, seed maphash.Seed) []successor {
	var list []successor
	prefix := at.moves()
	w := replay(begin, prefix)
	for i, m := range w.Moves() {
		if i > 0 {
			w = replay(begin, prefix)
		}
		w.Do(m)
		list = append(list, successor{&state{at, m, at.depth + 1}, maphash.String(seed, w.Key()), w.Broken()})
	}
	return list
}

func replay(begin func() Model, moves []string) Model {
	w := begin()
	for _, m := range moves {
		w.Do(m)
	}
	return w
}

// RandomWalks runs a number of random schedules of the given length, until a rule is broken. Two of
// three moves are the first that is possible. It is for schedules that are too long for CheckAll.
func RandomWalks(begin func() Model, length, walks int, rng *rand.Rand) Result {
	var r Result
	for range walks {
		w := begin()
		var made []string
		for range length {
			moves := w.Moves()
			m := moves[0]
			if rng.IntN(3) == 0 {
				m = moves[rng.IntN(len(moves))]
			}
			w.Do(m)
			made = append(made, m)
			r.States++
			if b := w.Broken(); b != "" {
				r.Violation, r.Schedule, r.Depth = b, made, len(made)
				return r
			}
		}
	}
	r.Depth = length
	return r
}
