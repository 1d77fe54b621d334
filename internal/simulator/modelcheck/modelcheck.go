// Package modelcheck explores all schedules of a small model up to a depth. All states with the same key count as one state,
// which is expanded once. Models need not be copyable: to reach a state, a new model replays its moves. That is cheap for
// small models.
package modelcheck

import (
	"hash/maphash"
	"math/rand/v2"
	"runtime"
	"sync"
)

// Model is a deterministic state machine: the same moves always lead to the same state. Each model is used by one goroutine.
type Model interface {
	// Moves returns the possible moves in this state. RandomWalks needs at least one, and prefers the first.
	Moves() []string
	// Do makes a move.
	Do(move string)
	// Key identifies the state. Two models with the same key behave the same after the same further moves.
	Key() string
	// Violation describes a violated rule. It is empty if no rule is violated.
	Violation() string
}

// Result of an exploration.
type Result struct {
	States      int      // distinct states of CheckAll, or moves made by RandomWalks
	Depth       int      // moves in the longest schedule, or in Schedule if RandomWalks found a violation
	IsTruncated bool     // the limit on the number of states was reached
	Violation   string   // describes the first violated rule; empty if none was violated
	Schedule    []string // the moves that lead to the violation
}

// state is a node of the search tree. The root has no parent and no move.
type state struct {
	parent *state
	move   string
	depth  int
}

func (s *state) moves() []string {
	list := make([]string, s.depth)
	for ; s.parent != nil; s = s.parent {
		list[s.depth-1] = s.move
	}
	return list
}

// successor is the state that a move leads to.
type successor struct {
	next      *state
	key       uint64
	violation string
}

// CheckAll explores all schedules of up to maxDepth moves, breadth first. It stops when a rule is violated or maxStates
// distinct states were found. It calls newModel concurrently.
func CheckAll(newModel func() Model, maxDepth, maxStates int) Result {
	seed := maphash.MakeSeed()
	visited := map[uint64]bool{}
	var result Result
	level := []*state{{}}
	for depth := 1; depth <= maxDepth && len(level) > 0; depth++ {
		var next []*state
		for _, successors := range expand(newModel, level, seed) {
			for _, found := range successors {
				if found.violation != "" {
					result.Violation, result.Schedule = found.violation, found.next.moves()
					return result
				}
				if visited[found.key] {
					continue
				}
				visited[found.key] = true
				result.States++
				result.Depth = depth
				if result.States >= maxStates {
					result.IsTruncated = true
					return result
				}
				next = append(next, found.next)
			}
		}
		level = next
	}
	return result
}

// expand makes every possible move from each state of a level, in parallel.
func expand(newModel func() Model, level []*state, seed maphash.Seed) [][]successor {
	all := make([][]successor, len(level))
	var workers sync.WaitGroup
	indices := make(chan int)
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for i := range indices {
				all[i] = successors(newModel, level[i], seed)
			}
		})
	}
	for i := range level {
		indices <- i
	}
	close(indices)
	workers.Wait()
	return all
}

func successors(newModel func() Model, from *state, seed maphash.Seed) []successor {
	var list []successor
	prefix := from.moves()
	model := replay(newModel, prefix)
	for i, move := range model.Moves() {
		if i > 0 {
			model = replay(newModel, prefix)
		}
		model.Do(move)
		list = append(list, successor{&state{from, move, from.depth + 1}, maphash.String(seed, model.Key()), model.Violation()})
	}
	return list
}

func replay(newModel func() Model, moves []string) Model {
	model := newModel()
	for _, move := range moves {
		model.Do(move)
	}
	return model
}

// RandomWalks runs random schedules of a given length in moves. It stops when a rule is violated. In two of three cases the
// move is the first possible one. Use it for schedules that are too long for CheckAll.
func RandomWalks(newModel func() Model, length, walks int, rng *rand.Rand) Result {
	var result Result
	for range walks {
		model := newModel()
		var schedule []string
		for range length {
			moves := model.Moves()
			move := moves[0]
			if rng.IntN(3) == 0 {
				move = moves[rng.IntN(len(moves))]
			}
			model.Do(move)
			schedule = append(schedule, move)
			result.States++
			if violation := model.Violation(); violation != "" {
				result.Violation, result.Schedule, result.Depth = violation, schedule, len(schedule)
				return result
			}
		}
	}
	result.Depth = length
	return result
}
