package console

import (
	"fmt"
	"time"

	tea "github.com/charmbracelet/bubbletea"
)

// Size of the terminal until it is known.
const (
	defaultWidth  = 80
	defaultHeight = 24
)

// Site is the site that a console shows and acts on. Its methods are called from other goroutines than those of the model.
type Site interface {
	// Snapshot reads the state of the site. What cannot be read is reported in the snapshot's Problems.
	Snapshot() Snapshot
	// Cancel cancels a job.
	Cancel(job string) error
	// Drain starts a drain of the site, or ends it.
	Drain(isDraining bool) error
}

// Model is the console as a bubbletea model. Only the goroutine that runs bubbletea's program may use it.
type Model struct {
	site            Site
	refreshInterval time.Duration
	snapshot        Snapshot
	isLoading       bool // a snapshot is being read
	screen          screen
	row             int
	width, height   int
	pendingAction   string       // name of the action that waits for a confirmation, as shown to the user; empty: none
	confirmedAction func() error // carries out the pending action
	message         string       // in the last line
}

// New returns a console that reads the state of the site when it starts, and then after each interval.
func New(site Site, refreshInterval time.Duration) *Model {
	return &Model{site: site, refreshInterval: refreshInterval, width: defaultWidth, height: defaultHeight}
}

// Messages of the model to itself.
type (
	snapshotLoaded Snapshot
	refreshDue     struct{}
	actionDone     struct {
		action string
		err    error
	}
)

// Init starts to read the first snapshot.
func (m *Model) Init() tea.Cmd { return m.load() }

// load starts to read a snapshot, unless one is being read.
func (m *Model) load() tea.Cmd {
	if m.isLoading {
		return nil
	}
	m.isLoading = true
	return func() tea.Msg { return snapshotLoaded(m.site.Snapshot()) }
}

// Update handles a key, a change of the terminal's size or a message of the model to itself.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = msg.Width, msg.Height
	case snapshotLoaded:
		m.snapshot, m.isLoading = Snapshot(msg), false
		m.clampRow()
		return m, tea.Tick(m.refreshInterval, func(time.Time) tea.Msg { return refreshDue{} })
	case refreshDue:
		return m, m.load()
	case actionDone:
		m.message = msg.action + ": done"
		if msg.err != nil {
			m.message = msg.action + ": " + msg.err.Error()
		}
		return m, m.load()
	case tea.KeyMsg:
		return m, m.handleKey(msg.String())
	}
	return m, nil
}

// clampRow keeps the selected row within the table.
func (m *Model) clampRow() {
	rows := len(m.snapshot.table(m.screen).ids)
	m.row = max(0, min(m.row, rows-1))
}

func (m *Model) handleKey(key string) tea.Cmd {
	if m.pendingAction != "" {
		return m.handleConfirmation(key)
	}
	m.message = ""
	switch key {
	case "q", "ctrl+c":
		return tea.Quit
	case "r":
		return m.load()
	case "c", "w":
		m.askToCancel()
	case "d":
		m.askToConfirm("drain the site", func() error { return m.site.Drain(true) })
	case "u":
		m.askToConfirm("undrain the site", func() error { return m.site.Drain(false) })
	default:
		m.navigate(key)
	}
	m.clampRow()
	return nil
}

// navigate changes the selected screen or row.
func (m *Model) navigate(key string) {
	switch key {
	case "1", "2", "3":
		m.screen, m.row = screen(key[0]-'1'), 0
	case "?":
		m.screen, m.row = helpScreen, 0
	case "j", "down":
		m.row++
	case "k", "up":
		m.row--
	}
}

// handleConfirmation carries out the pending action if the key is y, and drops it otherwise.
func (m *Model) handleConfirmation(key string) tea.Cmd {
	action, run := m.pendingAction, m.confirmedAction
	m.pendingAction, m.confirmedAction, m.message = "", nil, ""
	if key != "y" {
		return nil
	}
	return func() tea.Msg { return actionDone{action, run()} }
}

func (m *Model) askToCancel() {
	ids := m.snapshot.table(jobsScreen).ids
	if m.screen != jobsScreen || m.row >= len(ids) {
		return
	}
	job := ids[m.row]
	m.askToConfirm("cancel "+job, func() error { return m.site.Cancel(job) })
}

func (m *Model) askToConfirm(action string, run func() error) {
	m.pendingAction, m.confirmedAction = action, run
	m.message = fmt.Sprintf("%s? y: yes, any other key: no", action)
}

// View draws the selected screen.
func (m *Model) View() string {
	if m.snapshot.TakenAt.IsZero() {
		return "gullrudder: loading"
	}
	return m.snapshot.render(frame{screen: m.screen, row: m.row, width: m.width, height: m.height, message: m.message})
}
