package storage

import "testing"

// TestReservedSpaceSurvivesFailover checks that no new entry is placed into the reserved space of other entries after a
// failover.
func TestReservedSpaceSurvivesFailover(t *testing.T) {
	f := newLoadedFixture(t)
	for _, name := range []string{"job-1", "job-2", "job-3"} {
		if err := f.store.Set(f.now, name, testValue{1}, SetOptions{ReservedBytes: 250, Urgent: true}); err != nil {
			t.Fatal(err)
		}
	}
	got := f.decodeCommit(f.flush())
	next := newLoadedFixture(t)
	next.store.addPage(got.Operations[0].Write, 8, got.Operations[0].Value)
	for _, name := range []string{"job-1", "job-2", "job-3"} {
		next.store.Reserve(name, 250)
	}
	if err := next.store.Set(next.now, "job-4", testValue{1}, SetOptions{ReservedBytes: 250, Urgent: true}); err != nil {
		t.Fatal(err)
	}
	if next.store.pages.entries["job-4"].page == next.store.pages.entries["job-1"].page {
		t.Error("new entry placed on the page whose space is reserved, want another page")
	}
}

// TestPagesStayWithinSizeLimit checks that no page exceeds the size limit of a value, and that an entry which does not
// fit on its page, or on any page, is rejected.
func TestPagesStayWithinSizeLimit(t *testing.T) {
	f := newLoadedFixture(t)
	for i := range 40 {
		if err := f.store.Set(f.now, "job-"+string(rune('a'+i)), testValue{i}, SetOptions{ReservedBytes: 100, Urgent: true}); err != nil {
			t.Fatal(err)
		}
	}
	for _, p := range f.store.pages.byKey {
		if p.size > 1024 {
			t.Errorf("size of page %s: got %d bytes, want at most 1024", p.key, p.size)
		}
	}
	if err := f.store.Set(f.now, "job-zz", testValue{1}, SetOptions{ReservedBytes: 2000, Urgent: true}); err == nil {
		t.Error("set an entry larger than a page: no error, want one")
	}
	if err := f.store.Set(f.now, "job-a", testValue{1}, SetOptions{ReservedBytes: 2000, Urgent: true}); err == nil {
		t.Error("grow an entry beyond its page's limit: no error, want one")
	}
}
