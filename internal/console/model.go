package console

import (
	"fmt"
	"time"

	tea "github.com/charmbracelet/bubbletea"
)

// Site is what a console looks at and acts upon.
type Site interface {
	Look() Snapshot
	Cancel(job string) error
	Drain(on bool) error
}

// Model is a console.
type Model struct {
	site          Site
	every         time.Duration
	snap          Snapshot
	screen        Screen
	row           int
	width, height int
	asking        string // what a yes would do, in words
	act           func() error
	note          string
	looking       bool
}

// New makes a console that looks at the site every so often.
func New(site Site, every time.Duration) *Model {
	return &Model{site: site, every: every, width: 80, height: 24}
}

type (
	looked     Snapshot
	timePassed struct{}
	acted      struct {
		what string
		err  error
	}
)

// Init looks for the first time.
func (m *Model) Init() tea.Cmd { return m.look() }

func (m *Model) look() tea.Cmd {
	if m.looking {
		return nil
	}
	m.looking = true
	return func() tea.Msg { return looked(m.site.Look()) }
}

// Update takes in a key, a look or the passing of time.
func (m *Model) Update(msg tea.Msg) (tea.Model, tea.Cmd) {
	switch msg := msg.(type) {
	case tea.WindowSizeMsg:
		m.width, m.height = msg.Width, msg.Height
	case looked:
		m.snap, m.looking = Snapshot(msg), false
		m.keepRow()
		return m, tea.Tick(m.every, func(time.Time) tea.Msg { return timePassed{} })
	case timePassed:
		return m, m.look()
	case acted:
		m.note = msg.what + ": done"
		if msg.err != nil {
			m.note = msg.what + ": " + msg.err.Error()
		}
		return m, m.look()
	case tea.KeyMsg:
		return m, m.key(msg.String())
	}
	return m, nil
}

// keepRow keeps the chosen row on the list.
func (m *Model) keepRow() {
	_, _, ids := m.snap.rows(m.screen)
	m.row = max(0, min(m.row, len(ids)-1))
}

func (m *Model) key(k string) tea.Cmd {
	if m.asking != "" {
		what, act := m.asking, m.act
		m.asking, m.act, m.note = "", nil, ""
		if k != "y" {
			return nil
		}
		return func() tea.Msg { return acted{what, act()} }
	}
	m.note = ""
	switch k {
	case "q", "ctrl+c":
		return tea.Quit
	case "1", "2", "3":
		m.screen, m.row = Screen(k[0]-'1'), 0
	case "?":
		m.screen, m.row = Help, 0
	case "j", "down":
		m.row++
	case "k", "up":
		m.row--
	case "r":
		return m.look()
	case "c", "w":
		if _, _, ids := m.snap.rows(Jobs); m.screen == Jobs && m.row < len(ids) {
			id := ids[m.row]
			m.ask("cancel "+id, func() error { return m.site.Cancel(id) })
		}
	case "d":
		m.ask("drain the site", func() error { return m.site.Drain(true) })
	case "u":
		m.ask("use the site again", func() error { return m.site.Drain(false) })
	}
	m.keepRow()
	return nil
}

func (m *Model) ask(what string, act func() error) {
	m.asking, m.act = what, act
	m.note = fmt.Sprintf("%s? y: yes, any other key: no", what)
}

// View draws the screen.
func (m *Model) View() string {
	if m.snap.At.IsZero() {
		return "gullrudder: looking"
	}
	return m.snap.draw(m.screen, m.row, m.width, m.height, m.note)
}
