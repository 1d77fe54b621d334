package datadir

import (
	"errors"
	"os"
	"testing"

	"gullrudder/internal/config"
)

// A site is made once, with settings that the controllers take; a run that was cut off before its last
// file leaves none; and two supervisors never have it at a time.
func TestOpenOrCreate(t *testing.T) {
	dir := t.TempDir() + "/site"
	if _, err := Open(dir); !errors.Is(err, ErrNoSite) {
		t.Fatal(err)
	}
	site, err := OpenOrCreate(dir, CreateOptions{CPUs: 4, MemoryGB: 2, Controllers: 3}, "v")
	if err != nil {
		t.Fatal(err)
	}
	for i := range site.Controllers {
		p, err := config.LoadPlatform(site.ControllerConfig(i))
		if err != nil {
			t.Fatal(err)
		}
		if len(p.Peers) != 2 || p.CloudAddr != site.MachinePoolAddr || p.StateAddr != site.StateAddr || p.Name != site.Controllers[i].Name {
			t.Errorf("%+v", p)
		}
	}
	if _, err := config.LoadOptions(site.OptionsFile()); err != nil {
		t.Error(err)
	}
	again, err := OpenOrCreate(dir, CreateOptions{CPUs: 9}, "w")
	if err != nil || again.ID != site.ID || again.CPUs != 4 || again.WorkerAddr != site.WorkerAddr {
		t.Errorf("made anew: %+v %v", again, err)
	}
	lock, err := site.Lock()
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if _, err := again.Lock(); err == nil {
		t.Error("two have the site")
	}
	if err := os.Remove(dir + "/site.xml"); err != nil {
		t.Fatal(err)
	}
	if other, err := OpenOrCreate(dir, CreateOptions{}, "v"); err != nil || other.ID == site.ID {
		t.Errorf("after a run that was cut off: %v", err)
	}
}
