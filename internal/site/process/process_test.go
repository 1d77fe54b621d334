package process

import (
	"os"
	"os/exec"
	"testing"
	"time"

	"gullrudder/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// TestEndFindsAllDescendants checks that all descendants of a tagged process are found and ended, including those that have left its
// process group and session and those that have cleared their environment.
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
		time.Sleep(5 * time.Millisecond) // until all four run; if they never do, the test times out
	}
	if err := End(tags, nil, time.Minute); err != nil {
		t.Errorf("end the processes: %v", err)
	}
	if left := Find(tags, nil); len(left) > 0 {
		t.Errorf("processes after End: got %v, want none", left)
	}
	if cmd.Wait() == nil {
		t.Error("shell: exit status 0, want killed")
	}
}

// TestReusedPIDIsAnotherProcess checks that an identity with the PID of a running process, but another start time or boot, counts as not
// running and cannot be signalled.
func TestReusedPIDIsAnotherProcess(t *testing.T) {
	id, err := Identify(os.Getpid())
	if err != nil || !id.IsRunning() {
		t.Fatalf("identity of the test's own process: got %+v, error %v, want a running process", id, err)
	}
	for _, other := range []Identity{{id.PID, id.StartTicks + 1, id.BootID}, {id.PID, id.StartTicks, "another boot"}} {
		if other.IsRunning() || other.Signal(0) == nil {
			t.Errorf("identity %+v: running %v, want no process, since %+v has its PID", other, other.IsRunning(), id)
		}
	}
}
