// Package modelcheck plays every schedule of a small world up to a depth: states that were met before are told by
// their keys and not played on from again. It knows nothing of what is played. A world cannot be copied, so it
// is played from its beginning for each state; worlds are small, and that costs little.
package modelcheck

import (
	"hash/maphash"
	"math/rand/v2"
	"runtime"
	"sync"
)

// World is one that is played step by step, always the same way by the same moves.
type World interface {
	// Moves lists what can happen next.
	Moves() []string
	// Do makes one of them happen.
	Do(move string)
	// Key tells the states apart: two worlds with the same key have the same future.
	Key() string
	// Broken says which rule is broken, empty if none is.
	Broken() string
}

// Result is what was met.
type Result struct {
	States   int
	Depth    int      // of the deepest schedule
	Cut      bool     // there were more states than were allowed
	Broken   string   // the first broken rule
	Schedule []string // and the moves that lead to it
}

type node struct {
	parent *node
	move   string
	depth  int
}

func (n *node) moves() []string {
	list := make([]string, n.depth)
	for ; n.parent != nil; n = n.parent {
		list[n.depth-1] = n.move
	}
	return list
}

// found is what a move from a state has led to.
type found struct {
	next   *node
	key    uint64
	broken string
}

// All plays every schedule of up to depth moves, the short ones first, until a rule is broken or most states were met.
func All(begin func() World, depth, most int) Result {
	seed := maphash.MakeSeed()
	met := map[uint64]bool{}
	var r Result
	level := []*node{{}}
	for d := 1; d <= depth && len(level) > 0; d++ {
		var next []*node
		for _, list := range expand(begin, level, seed) {
			for _, f := range list {
				if f.broken != "" {
					r.Broken, r.Schedule = f.broken, f.next.moves()
					return r
				}
				if met[f.key] {
					continue
				}
				met[f.key] = true
				r.States++
				r.Depth = d
				if r.States >= most {
					r.Cut = true
					return r
				}
				next = append(next, f.next)
			}
		}
		level = next
	}
	return r
}

// expand makes every move from each of the states, some of them side by side.
func expand(begin func() World, level []*node, seed maphash.Seed) [][]found {
	all := make([][]found, len(level))
	var wait sync.WaitGroup
	work := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		wait.Go(func() {
			for i := range work {
				all[i] = moves(begin, level[i], seed)
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

func moves(begin func() World, at *node, seed maphash.Seed) []found {
	var list []found
	prefix := at.moves()
	w := play(begin, prefix)
	for i, m := range w.Moves() {
		if i > 0 {
			w = play(begin, prefix)
		}
		w.Do(m)
		list = append(list, found{&node{at, m, at.depth + 1}, maphash.String(seed, w.Key()), w.Broken()})
	}
	return list
}

func play(begin func() World, moves []string) World {
	w := begin()
	for _, m := range moves {
		w.Do(m)
	}
	return w
}

// Walks plays so many schedules of the given length that are drawn at random, until a rule is broken. Two of
// three moves are the first that there is. For what lies deeper than All can go.
func Walks(begin func() World, length, walks int, rng *rand.Rand) Result {
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
				r.Broken, r.Schedule, r.Depth = b, made, len(made)
				return r
			}
		}
	}
	r.Depth = length
	return r
}
