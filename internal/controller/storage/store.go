// Package storage keeps what has to outlive every process in the state service. Entries
// are packed many to a page, a page is one key, and changed pages go out in group
// commits. Every commit guards the leader's key and the mark of every page it writes,
// so that one that is executed late or twice changes nothing.
package storage

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"sort"
	"time"

	"gullrudder/internal/wire/client"
	"gullrudder/internal/wire/codec"

	"github.com/vmihailenco/msgpack/v5"
)

// PagePrefix is where the pages are.
const PagePrefix = "page/"

// MaxTxnBytes is how many JSON bytes of values go into one transaction.
const MaxTxnBytes = 56 << 10

// Options of a ledger.
type Options struct {
	LeaderKey  string
	ValueBytes int
	TxnOps     int
	WriteRate  float64
	BatchDelay time.Duration // how long a change that nobody waits for may be gathered
}

const (
	pageFrame  = 64 // JSON bytes of a page besides its entries
	entryFrame = 8  // JSON bytes of an entry besides its name and value
)

type entry struct {
	raw      msgpack.RawMessage
	size     int // JSON bytes of name and value, or the room reserved if that is more
	page     *page
	finished bool // a finished job's, which may leave for the history
}

type page struct {
	key            string
	modRevision    uint64
	entries        map[string]*entry
	size           int
	finishedSize   int // of that, JSON bytes of finished jobs
	urgent         bool
	dirtySince     time.Time // when the oldest unsaved change was made
	waiters        []func(time.Time, bool)
	hasStaleCopies bool // the state service has stale copies there of entries that are on other pages now
	unsplittable   bool // an entry by itself is too large
}

type transaction struct {
	sequence uint64
	pages    []*page
	wasDirty []bool // which of them had unsaved changes
	waiters  [][]func(time.Time, bool)
	move     *entryMove // what leaves the pages in the same commit
	guarded  []*page    // those whose marks it guards
}

// Store is the leader's copy of the pages and what still has to be written.
type Store struct {
	options          Options
	log              *slog.Logger
	fencingToken     uint64
	pages            map[string]*page
	dirtyPages       map[*page]bool // those with unsaved changes
	entries          map[string]*entry
	nextPageNumber   int
	sequence         uint64
	writeLimiter     *client.RateLimiter
	inFlight         *transaction
	loaded           bool
	fenced           bool // another leader has written: this one has to step down
	retryAt          time.Time
	failingSince     time.Time // since when commits have been failing
	retryDelay       time.Duration
	closed           *int
	pendingMove      *entryMove        // what is to leave the pages with the next commit that has room
	hasUncertainMove bool              // a move that nobody answered may be executed yet
	archiveHead      *page             // names the runs of the history
	archiveIndex     map[string]string // parts of its index, until they are taken
	pendingLists     int               // lists that are not read to their end
	uncertainPage    *page             // a new page of a split that failed, or may be carried out yet
	limitsLowered    bool              // values of the old size are refused by now
	splitDueSince    time.Time         // since when a page is to be split
	loggedUnreadable bool              // an entry that cannot be read was told of
}

// New makes the ledger of a new leadership. Load has to come first.
func New(options Options, fencingToken uint64, log *slog.Logger) *Store {
	return &Store{
		options:      options,
		log:          log,
		fencingToken: fencingToken,
		pages:        map[string]*page{},
		dirtyPages:   map[*page]bool{},
		entries:      map[string]*entry{},
		writeLimiter: client.NewRateLimiter(options.WriteRate*0.92, time.Second),
		closed:       new(int),
		archiveHead:  &page{key: ArchiveHeadKey, entries: map[string]*entry{}, size: pageFrame},
		archiveIndex: map[string]string{},
	}
}

// Close makes answers that are still to come harmless.
func (s *Store) Close() { *s.closed = 1 }

// IsLoaded reports whether all pages have been read.
func (s *Store) IsLoaded() bool { return s.loaded }

// IsFenced reports that somebody else has written, so that this leadership is over.
func (s *Store) IsFenced() bool { return s.fenced }

// IsHealthy is false while commits do not get through.
func (s *Store) IsHealthy() bool { return s.failingSince.IsZero() }

// pageValue is a page as it is kept. Leader and Seq name the commit that wrote it: a number alone is used again by the next
// leader, which counts on from what it has read.
type pageValue struct {
	Sequence uint64                        `msgpack:"n"`
	Leader   uint64                        `msgpack:"l,omitempty"`
	Entries  map[string]msgpack.RawMessage `msgpack:"e"`
}

// Load reads all pages, and the index of the history beside them.
func (s *Store) Load(box *client.Outbox) {
	s.pendingLists = 2
	s.loadKeys(box, PagePrefix, "", 0, s.installPage)
	s.loadKeys(box, archivePrefix, "", 0, s.installArchiveKey)
}

func (s *Store) loadKeys(box *client.Outbox, prefix, from string, after time.Duration, install func(keyValue) error) {
	s.listKeys(box, prefix, from, after, 2*time.Second, func(now time.Time, rows []keyValue, more bool, status int) {
		if status != 200 {
			s.loadKeys(box, prefix, from, 200*time.Millisecond, install)
			return
		}
		for _, row := range rows {
			if err := install(row); err != nil {
				// Without it nobody could tell what there is: nothing is answered.
				if !s.loggedUnreadable {
					s.loggedUnreadable = true
					s.log.Error("the ledger cannot be read, and is read again until it can", "key", row.Key, "error", err)
				}
				s.loadKeys(box, prefix, from, time.Second, install)
				return
			}
			from = row.Key
		}
		if more && len(rows) > 0 {
			s.loadKeys(box, prefix, from, 0, install)
			return
		}
		s.pendingLists--
		s.loaded = s.pendingLists == 0
	})
}

func (s *Store) installPage(row keyValue) error {
	if row.ModRevision == 0 {
		return fmt.Errorf("key %s comes without its mark", row.Key)
	}
	if row.Key == formatKey {
		return checkFormat(row.Value)
	}
	var value pageValue
	if err := msgpack.Unmarshal(row.Value, &value); err != nil {
		return err
	}
	s.addPage(row.Key, row.ModRevision, value)
	return nil
}

func (s *Store) addPage(key string, modRevision uint64, value pageValue) {
	newPage := &page{key: key, modRevision: modRevision, entries: map[string]*entry{}, size: pageFrame}
	s.pages[key] = newPage
	var number int
	if _, err := fmt.Sscanf(key, PagePrefix+"%d", &number); err == nil && number >= s.nextPageNumber {
		s.nextPageNumber = number + 1
	}
	s.addEntries(newPage, value)
	for name, e := range newPage.entries {
		if older := s.entries[name]; older != nil {
			// The pages come in the order of their numbers: an earlier leader has copied it here.
			delete(older.page.entries, name)
			older.page.size -= older.size
			older.page.hasStaleCopies, s.dirtyPages[older.page] = true, true
		}
		s.entries[name] = e
	}
}

func (s *Store) addEntries(target *page, value pageValue) {
	for name, raw := range value.Entries {
		e := &entry{raw: raw, size: codec.JSONSize(raw) + len(name) + entryFrame, page: target}
		target.entries[name] = e
		target.size += e.size
	}
	s.sequence = max(s.sequence, value.Sequence)
}

// call sends a state call whose answer is dropped once the leadership is over.
func (s *Store) call(box *client.Outbox, request client.Call) {
	done, epoch := request.Done, s.closed
	request.Destination = client.StateService
	request.Done = func(now time.Time, r client.Result) {
		if *epoch == 0 {
			done(now, r)
		}
	}
	box.Add(request)
}

// ForEach calls f with every entry.
func (s *Store) ForEach(f func(name string, decode func(any) error)) {
	names := make([]string, 0, len(s.entries))
	for name := range s.entries {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		e := s.entries[name]
		f(name, func(v any) error { return msgpack.Unmarshal(e.raw, v) })
	}
}

// MaxEntryBytes is the most JSON bytes that the value of an entry may have, with a page to itself.
func (s *Store) MaxEntryBytes(name string) int {
	return s.options.ValueBytes - pageFrame - len(name) - entryFrame
}

// Set changes an entry. reserve is the most JSON bytes its value may come to need while
// it lives, 0 if it is what the value needs now; the entry never leaves its page. then, if given, is called with true once
// the change is durable, or with false if that has become doubtful; in that case the
// change stays and goes on to be written.
func (s *Store) Set(now time.Time, name string, value any, reserve int, urgent bool, done func(now time.Time, ok bool)) error {
	raw, err := codec.Marshal(value)
	if err != nil {
		return fmt.Errorf("entry %s: %w", name, err)
	}
	if reserve == 0 {
		text, err := json.Marshal(value)
		if err != nil {
			return fmt.Errorf("entry %s: %w", name, err)
		}
		reserve = len(text)
	}
	size := reserve + len(name) + entryFrame
	e := s.entries[name]
	if e == nil {
		target := s.choosePage(size)
		if target == nil {
			return fmt.Errorf("entry %s: %d bytes are more than a page holds", name, size)
		}
		e = &entry{page: target}
		s.entries[name] = e
		target.entries[name] = e
	}
	if size > e.size && e.page.size+size-e.size > s.options.ValueBytes {
		return fmt.Errorf("entry %s: grows to %d bytes, more than its page holds", name, size)
	}
	e.page.size += size - e.size
	e.raw, e.size = raw, size
	s.setDirty(now, e.page, urgent, done)
	return nil
}

// Reserve makes sure that an entry that was loaded has its room: what is read back says
// only how large it is, not how large it may come to be.
func (s *Store) Reserve(name string, reserve int) {
	e := s.entries[name]
	if e == nil {
		return
	}
	if size := reserve + len(name) + entryFrame; size > e.size {
		e.page.size += size - e.size
		e.size = size
	}
}

// Delete removes an entry.
func (s *Store) Delete(now time.Time, name string) {
	e := s.entries[name]
	if e == nil {
		return
	}
	s.removeEntry(name, e)
	s.setDirty(now, e.page, false, nil)
}

func (s *Store) removeEntry(name string, e *entry) {
	delete(s.entries, name)
	delete(e.page.entries, name)
	e.page.size -= e.size
	if e.finished {
		e.page.finishedSize -= e.size
	}
}

func (s *Store) setDirty(now time.Time, dirtied *page, urgent bool, done func(time.Time, bool)) {
	if !s.dirtyPages[dirtied] {
		s.dirtyPages[dirtied], dirtied.dirtySince, dirtied.urgent = true, now, false
	}
	dirtied.urgent = dirtied.urgent || urgent
	if done != nil {
		dirtied.waiters = append(dirtied.waiters, done)
	}
}

// choosePage finds a page for a new entry: a page that is to be written anyway if there is
// one, else the fullest that has room, else a new one.
func (s *Store) choosePage(size int) *page {
	if size+pageFrame > s.options.ValueBytes {
		return nil
	}
	var best *page
	better := func(a, b *page) bool {
		da, db := s.dirtyPages[a], s.dirtyPages[b]
		if (da && a.urgent) != (db && b.urgent) {
			return da && a.urgent
		}
		if da != db {
			return da
		}
		if a.size != b.size {
			return a.size > b.size
		}
		return a.key < b.key
	}
	for _, p := range s.pages {
		if p.size+size <= s.options.ValueBytes && (best == nil || better(p, best)) {
			best = p
		}
	}
	if best == nil {
		best = &page{key: pageKey(s.nextPageNumber), entries: map[string]*entry{}, size: pageFrame}
		s.nextPageNumber++
		s.pages[best.key] = best
	}
	return best
}

// Flush sends the next commit if one is due.
func (s *Store) Flush(now time.Time, box *client.Outbox) {
	if !s.loaded || s.fenced || s.inFlight != nil || now.Before(s.retryAt) {
		return
	}
	var due []*page
	for p := range s.dirtyPages {
		if !s.isUnwritable(p) {
			due = append(due, p)
		}
	}
	if s.uncertainPage != nil {
		s.invalidateUncertainSplit(now, box)
		return
	}
	if m := s.nextSplit(now); m != nil {
		s.writeLimiter.Take(len(m.pages))
		s.sendCommit(now, box, m.pages, m)
		return
	}
	if len(due) == 0 && s.pendingMove == nil {
		return
	}
	sort.Slice(due, func(i, j int) bool {
		if due[i].urgent != due[j].urgent {
			return due[i].urgent
		}
		if !due[i].dirtySince.Equal(due[j].dirtySince) {
			return due[i].dirtySince.Before(due[j].dirtySince)
		}
		return due[i].key < due[j].key
	})
	budget := s.writeLimiter.Available(now)
	var chosen []*page
	bytes := 0
	for _, p := range due {
		// What nobody waits for leaves half of the budget to what somebody does.
		if !p.urgent && (now.Sub(p.dirtySince) < s.options.BatchDelay || float64(budget-len(chosen)) < s.options.WriteRate/2) {
			continue
		}
		if len(chosen) >= min(budget, s.options.TxnOps) || len(chosen) > 0 && bytes+p.size > MaxTxnBytes {
			break
		}
		chosen = append(chosen, p)
		bytes += p.size
	}
	pages, m := s.joinPendingMove(now, chosen)
	if len(pages) == 0 {
		return
	}
	s.writeLimiter.Take(len(pages))
	if m != nil && s.archiveHead.modRevision == 0 {
		s.writeLimiter.Take(1) // the mark of the format
	}
	s.sendCommit(now, box, pages, m)
}
