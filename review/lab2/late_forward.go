package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	askers = 12 // connections on which a user asks a controller, again and again
	// askTime is how long a user asks before the leader ends.
	askTime = 300 * time.Millisecond
	// askLimit is how long a user waits for an answer.
	askLimit = 2 * time.Second
	// forwardGrace is the time after an answer was read in which another answer may still have been sent before it.
	forwardGrace = 150 * time.Millisecond
)

// questions are the answers that a user got on several connections to one controller.
type questions struct {
	mu      sync.Mutex
	answers []answer
}

// lateForward stops a controller that has forwarded questions to the leader, and kills the leader. The job is cancelled through the next
// leader. Then the stopped controller goes on.
func lateForward(l *lab) error {
	c, err := startCluster(l)
	if err != nil {
		return err
	}
	rounds, broken := 0, 0
	for ; rounds < maxRounds && broken == 0; rounds++ {
		isOlder, err := forwardRound(c, fmt.Sprintf("job-%06d", 300+rounds))
		if err != nil {
			return err
		}
		if isOlder {
			broken++
		}
	}
	l.log("%d rounds", rounds)
	if broken > 0 {
		return fmt.Errorf("%w: went_back, a job that its user was told is cancelled is called something else", errBroken)
	}
	return nil
}

// forwardRound reports whether the user got an older answer after the job was called cancelled.
func forwardRound(c *cluster, id string) (isOlder bool, err error) {
	l := c.lab
	var leader *node
	err = waitFor("a settled leader", 30*time.Second, func() bool { leader = c.settledLeader(); return leader != nil })
	if err != nil {
		return false, err
	}
	asked := c.other(leader)
	l.log("%s leads, users ask %s", leader.name, asked.name)
	if accepted := leader.send(l, "submission of "+id, "/work", submission(id)); accepted.status != http.StatusCreated {
		return false, fmt.Errorf("%s was not accepted", id)
	}
	q, stop := &questions{}, make(chan struct{})
	var group sync.WaitGroup
	for range askers {
		group.Go(func() { q.ask(asked, id, stop) })
	}
	time.Sleep(askTime)
	next := c.third(leader, asked)
	if l.trouble {
		if err := c.stopAndKill(asked, leader); err != nil {
			return false, err
		}
		next = c.awaitNext([]*node{next}, cutLimit)
	}
	var cancelled answer
	if next != nil {
		cancelled = next.send(l, "cancellation of "+id, "/work/"+id+"/withdraw", map[string]any{})
		time.Sleep(forwardGrace)
	}
	if l.trouble {
		if err := asked.process.Signal(syscall.SIGCONT); err != nil {
			return false, err
		}
		l.log("%s goes on", asked.name)
		time.Sleep(askLimit)
		if err := c.startNode(leader); err != nil {
			return false, err
		}
	}
	close(stop)
	group.Wait()
	return q.hasOlder(l, asked, cancelled), nil
}

// stopAndKill stops a controller and kills another one.
func (c *cluster) stopAndKill(stopped, killed *node) error {
	if err := stopped.process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	c.lab.log("%s stands still", stopped.name)
	if err := killed.process.Kill(); err != nil {
		return err
	}
	c.lab.log("%s is killed", killed.name)
	return nil
}

// ask asks a controller about a job again and again, each time with a limit for the answer.
func (q *questions) ask(n *node, id string, stop chan struct{}) {
	user := newClient(askLimit)
	defer user.close()
	for {
		select {
		case <-stop:
			return
		default:
		}
		status, body := user.call(http.MethodGet, n.publicAddr, "/work/"+id, nil)
		q.mu.Lock()
		q.answers = append(q.answers, answer{status, body["trim"], time.Now()})
		q.mu.Unlock()
	}
}

// hasOlder reports whether an answer that was read after the cancellation calls the job something else.
func (q *questions) hasOlder(l *lab, asked *node, cancelled answer) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	older := 0
	for _, a := range q.answers {
		after := a.readAt.Sub(cancelled.readAt)
		if !cancelled.isCancelled() || after < forwardGrace || !a.isOlderThanCancelled() {
			continue
		}
		if older++; older <= 5 {
			l.log("%s answered with status %d, %v, %v after the user was told cancelled",
				asked.name, a.status, a.state, after.Round(time.Millisecond))
		}
	}
	l.log("%d answers, %d of them older than the cancellation", len(q.answers), older)
	return older > 0
}
