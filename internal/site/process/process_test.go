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
func TestEndFindsAllDescendants(t *testing.T) {
	tag := "GULLRUDDER_TEST=" + t.Name()
	ready := t.TempDir() + "/ready"
	cmd := exec.Command("sh", "-c", "trap '' TERM; sleep 300 & (setsid sleep 300 &); env -i sleep 300 & : > "+ready+"; wait")
	cmd.Env = append(os.Environ(), tag)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	tags := map[string]bool{tag: true}
	for len(Find(tags, nil)) < 4 {
		time.Sleep(5 * time.Millisecond) // until all four are there; the test's own limit ends it otherwise
	}
	if err := End(tags, nil, time.Minute); err != nil {
		t.Error(err)
	}
	if list := Find(tags, nil); len(list) > 0 {
		t.Errorf("%v are left", list)
	}
	if cmd.Wait() == nil {
		t.Error("it ended by itself")
	}
}

// A number that was given out anew is not taken for the process that had it before.
func TestReusedPIDIsAnotherProcess(t *testing.T) {
	id, err := Identify(os.Getpid())
	if err != nil || !id.IsRunning() {
		t.Fatal(id, err)
	}
	for _, other := range []Identity{{id.PID, id.StartTicks + 1, id.BootID}, {id.PID, id.StartTicks, "another start"}} {
		if other.IsRunning() || other.Signal(0) == nil {
			t.Errorf("%v is taken for this process", other)
		}
	}
}
