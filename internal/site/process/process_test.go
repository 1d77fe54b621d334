package process

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"gullrudder/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// Everything of a marked process is found and ended: what it forked, what left its group and session,
// and what has cleared its environment, as long as it descends from a marked one.
func TestEnd(t *testing.T) {
	mark := "GULLRUDDER_TEST=" + t.Name()
	ready := t.TempDir() + "/ready"
	cmd := exec.Command("sh", "-c", "trap '' TERM; sleep 300 & (setsid sleep 300 &); env -i sleep 300 & : > "+ready+"; wait")
	cmd.Env = append(os.Environ(), mark)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	marks := map[string]bool{mark: true}
	for len(Find(marks, nil)) < 4 {
		time.Sleep(5 * time.Millisecond) // until all four are there; the test's own limit ends it otherwise
	}
	if err := End(marks, nil, time.Minute); err != nil {
		t.Error(err)
	}
	if list := Find(marks, nil); len(list) > 0 {
		t.Errorf("%v are left", list)
	}
	if cmd.Wait() == nil {
		t.Error("it ended by itself")
	}
}

// A number that was given out anew is not taken for the process that had it before.
func TestAnotherProcessWithTheNumber(t *testing.T) {
	id, err := Identify(os.Getpid())
	if err != nil || !id.Alive() {
		t.Fatal(id, err)
	}
	for _, other := range []Identity{{id.PID, id.Began + 1, id.Boot}, {id.PID, id.Began, "another start"}} {
		if other.Alive() || other.Signal(0) == nil {
			t.Errorf("%v is taken for this process", other)
		}
	}
}
