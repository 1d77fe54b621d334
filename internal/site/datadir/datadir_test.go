package datadir

import (
	"errors"
	"os"
	"testing"

	"gullrudder/internal/config"

	"github.com/google/go-cmp/cmp"
)

// TestOpenOrCreate checks that a site is created once, with settings that the controllers accept. It also checks that a creation
// interrupted before its last file leaves no site, and that only one supervisor can hold the lock.
func TestOpenOrCreate(t *testing.T) {
	dir := t.TempDir() + "/site"
	if _, err := Open(dir); !errors.Is(err, ErrNoSite) {
		t.Fatalf("open an empty directory: got error %v, want %v", err, ErrNoSite)
	}
	site, err := OpenOrCreate(dir, CreateOptions{CPUs: 4, MemoryGB: 2, Controllers: 3}, "v")
	if err != nil {
		t.Fatal(err)
	}
	for i := range site.Controllers {
		platform, err := config.LoadPlatform(site.ControllerConfigPath(i))
		if err != nil {
			t.Fatal(err)
		}
		if len(platform.Peers) != 2 || platform.CloudAddr != site.MachinePoolAddr || platform.StateAddr != site.StateAddr ||
			platform.Name != site.Controllers[i].Name {
			t.Errorf("settings of controller %d: got %+v, want the addresses and name of the site", i, platform)
		}
	}
	if _, err := config.LoadOptions(site.OptionsPath()); err != nil {
		t.Errorf("load the options: %v", err)
	}
	reopened, err := OpenOrCreate(dir, CreateOptions{CPUs: 9}, "w")
	if err != nil || reopened.ID != site.ID || reopened.CPUs != 4 || reopened.WorkerAddr != site.WorkerAddr {
		t.Errorf("second call: got %+v, error %v, want the site as it was created", reopened, err)
	}
	lock, err := site.Lock()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := lock.Close(); err != nil {
			t.Errorf("release the lock: %v", err)
		}
	})
	if _, err := reopened.Lock(); err == nil {
		t.Error("second lock: no error, want one")
	}
	if err := os.Remove(dir + "/site.xml"); err != nil {
		t.Fatal(err)
	}
	if other, err := OpenOrCreate(dir, CreateOptions{}, "v"); err != nil || other.ID == site.ID {
		t.Errorf("after an interrupted creation: got site %v, error %v, want a new site", other, err)
	}
}

// TestControllerConfigBytes checks that the settings of a controller have the same bytes as those that earlier versions wrote.
func TestControllerConfigBytes(t *testing.T) {
	site := &Site{
		Zone: "here", CPUs: 7.5, StateAddr: "127.0.0.1:1", MachinePoolAddr: "127.0.0.1:2", dir: t.TempDir(),
		Controllers: []Controller{
			{Name: "controller-1", PublicAddr: "127.0.0.1:4", PeerAddr: "127.0.0.1:5"},
			{Name: "controller-2", PublicAddr: "127.0.0.1:6", PeerAddr: "127.0.0.1:7"},
		},
	}
	if err := site.writeControllerConfig(0); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/controller-1.json")
	if err != nil {
		t.Fatal(err)
	}
	got, err := os.ReadFile(site.ControllerConfigPath(0))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), string(got)); diff != "" {
		t.Errorf("settings of controller-1 (-want +got):\n%s", diff)
	}
}
