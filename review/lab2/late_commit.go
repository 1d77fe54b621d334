package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

const (
	// answerGrace is the time after an answer was read in which another answer may still have been sent before it.
	answerGrace = 20 * time.Millisecond
	// cutLimit is when a cut ends in any case.
	cutLimit = 3 * time.Second
	// maxRounds bounds the rounds of a run that breaks no rule.
	maxRounds = 15
)

// answer is a controller's answer to a user, and when the user read it.
type answer struct {
	status int
	state  any
	readAt time.Time
}

func (a answer) isCancelled() bool { return a.status == http.StatusOK && a.state == "cancelled" }

// isOlderThanCancelled reports whether the answer calls the job something else than cancelled.
func (a answer) isOlderThanCancelled() bool {
	return (a.status == http.StatusOK || a.status == http.StatusCreated) && a.state != "cancelled"
}

// send sends a user's request about a job, and logs the answer.
func (n *node) send(l *lab, what, path string, body any) answer {
	user := newClient(5 * time.Second)
	defer user.close()
	status, message := user.call(http.MethodPost, n.publicAddr, path, body)
	a := answer{status, message["trim"], time.Now()}
	l.log("%s at %s: status %d, %v", what, n.name, a.status, a.state)
	return a
}

// lateCommit cuts the leader off from the state service and the other controllers while it saves a submission. The user submits the job
// again at the next leader and cancels it there. Then the cut ends.
func lateCommit(l *lab) error {
	c, err := startCluster(l)
	if err != nil {
		return err
	}
	rounds, broken := 0, 0
	for ; rounds < maxRounds && broken == 0; rounds++ {
		isOlder, err := commitRound(c, fmt.Sprintf("job-%06d", 200+rounds))
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

// commitRound reports whether the first answer to a submission was older than one that the user had read before.
func commitRound(c *cluster, id string) (isOlder bool, err error) {
	l := c.lab
	var leader *node
	err = waitFor("a settled leader", 20*time.Second, func() bool { leader = c.settledLeader(); return leader != nil })
	if err != nil {
		return false, err
	}
	l.log("%s leads", leader.name)
	cutBegan := make(chan struct{})
	leader.setStateHook(func(chunk []byte) {
		if !bytes.Contains(chunk, []byte(id)) {
			return
		}
		leader.setStateHook(nil)
		if l.trouble {
			leader.network.begin()
			l.log("%s is cut off from the state service and the other controllers", leader.name)
		}
		close(cutBegan)
	})
	first := make(chan answer, 1)
	go func() { first <- leader.send(l, "submission of "+id, "/work", submission(id)) }()
	select {
	case <-cutBegan:
	case <-time.After(5 * time.Second):
		return false, fmt.Errorf("%s did not save %s", leader.name, id)
	}
	cancelled := cancelElsewhere(c, leader, id)
	time.Sleep(answerGrace)
	leader.network.end()
	l.log("the cut of %s is over", leader.name)
	late := <-first
	if !cancelled.isCancelled() || late.readAt.Sub(cancelled.readAt) < answerGrace {
		return false, nil
	}
	return late.isOlderThanCancelled(), nil
}

// cancelElsewhere submits a job again at another controller and then cancels it there. With the disruption, that is the next leader.
func cancelElsewhere(c *cluster, leader *node, id string) answer {
	next := c.nodes[0]
	if next == leader {
		next = c.nodes[1]
	}
	if c.lab.trouble {
		if next = c.awaitNext([]*node{c.other(leader), c.third(leader, c.other(leader))}, cutLimit); next == nil {
			return answer{}
		}
	}
	if repeated := next.send(c.lab, "repeated submission of "+id, "/work", submission(id)); repeated.status != http.StatusOK {
		return answer{}
	}
	return next.send(c.lab, "cancellation of "+id, "/work/"+id+"/withdraw", map[string]any{})
}

// awaitNext waits until one of the controllers leads, and returns it.
func (c *cluster) awaitNext(candidates []*node, limit time.Duration) *node {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		for _, n := range candidates {
			if n.leads() {
				c.lab.log("%s leads", n.name)
				return n
			}
		}
	}
	c.lab.log("no other leader")
	return nil
}
