package console

import (
	"fmt"
	"time"

	tea "github.com/charmbracelet/bubbletea"
)

// Site is what a console looks at and acts upon.
type Site interface {
	Snapshot() Snapshot
	Cancel(job string) error
	Drain(on bool) error
}

// Model is a console.
type Model struct {
	site            Site
	refreshInterval time.Duration
	snapshot        Snapshot
	screen          Screen
	row             int
	width, height   int
	pendingAction   string // what a yes would do, in words
	confirmedAction func() error
	message         string
	isLoading       bool
}

// New makes a console that looks at the site every so often.
func New(site Site, refreshInterval time.Duration) *Model {
	return &Model{site: site, refreshInterval: refreshInterval, width: 80, height: 24}
}

type (
	snapshotLoaded Snapshot
	refreshDue     struct{}
	actionDone     struct {
		action string
		err    error
	}
)

// Init looks for the first time.
func (m *Model) Init() tea.Cmd { return m.load() }

func (m *Model) load() tea.Cmd {
	if m.isLoading {
		return nil
	}
	m.isLoading = true
	return func() tea.Msg { return snapshotLoaded(m.site.Snapshot()) }
}

// Update takes in a key, a look or the passing of time.
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

// clampRow keeps the chosen row on the list.
func (m *Model) clampRow() {
	_, _, ids := m.snapshot.rows(m.screen)
	m.row = max(0, min(m.row, len(ids)-1))
}

func (m *Model) handleKey(key string) tea.Cmd {
	if m.pendingAction != "" {
		action, run := m.pendingAction, m.confirmedAction
		m.pendingAction, m.confirmedAction, m.message = "", nil, ""
		if key != "y" {
			return nil
		}
		return func() tea.Msg { return actionDone{action, run()} }
	}
	m.message = ""
	switch key {
	case "q", "ctrl+c":
		return tea.Quit
	case "1", "2", "3":
		m.screen, m.row = Screen(key[0]-'1'), 0
	case "?":
		m.screen, m.row = Help, 0
	case "j", "down":
		m.row++
	case "k", "up":
		m.row--
	case "r":
		return m.load()
	case "c", "w":
		if _, _, ids := m.snapshot.rows(Jobs); m.screen == Jobs && m.row < len(ids) {
			id := ids[m.row]
			m.askToConfirm("cancel "+id, func() error { return m.site.Cancel(id) })
		}
	case "d":
		m.askToConfirm("drain the site", func() error { return m.site.Drain(true) })
	case "u":
		m.askToConfirm("use the site again", func() error { return m.site.Drain(false) })
	}
	m.clampRow()
	return nil
}

func (m *Model) askToConfirm(action string, run func() error) {
	m.pendingAction, m.confirmedAction = action, run
	m.message = fmt.Sprintf("%s? y: yes, any other key: no", action)
}

// View draws the screen.
func (m *Model) View() string {
	if m.snapshot.TakenAt.IsZero() {
		return "gullrudder: looking"
	}
	return m.snapshot.render(m.screen, m.row, m.width, m.height, m.message)
}
