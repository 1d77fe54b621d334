package datadir

import (
	"errors"
	"os"
	"testing"

	"gullrudder/internal/config"
)

// A site is made once, with settings that the controllers take; a run that was cut off before its last
// file leaves none; and two supervisors never have it at a time.
func TestMake(t *testing.T) {
	dir := t.TempDir() + "/site"
	if _, err := Open(dir); !errors.Is(err, ErrNone) {
		t.Fatal(err)
	}
	h, err := Make(dir, Wishes{CPUs: 4, MemGB: 2, Controllers: 3}, "v")
	if err != nil {
		t.Fatal(err)
	}
	for i := range h.Controllers {
		p, err := config.LoadPlatform(h.Controller(i))
		if err != nil {
			t.Fatal(err)
		}
		if len(p.Peers) != 2 || p.CloudAddr != h.Pool || p.StateAddr != h.State || p.Name != h.Controllers[i].Name {
			t.Errorf("%+v", p)
		}
	}
	if _, err := config.LoadOptions(h.Options()); err != nil {
		t.Error(err)
	}
	again, err := Make(dir, Wishes{CPUs: 9}, "w")
	if err != nil || again.ID != h.ID || again.CPUs != 4 || again.Worker != h.Worker {
		t.Errorf("made anew: %+v %v", again, err)
	}
	lock, err := h.Lock()
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
	if other, err := Make(dir, Wishes{}, "v"); err != nil || other.ID == h.ID {
		t.Errorf("after a run that was cut off: %v", err)
	}
}
