package console

import (
	"fmt"
	"strings"
	"time"
)

// Text returns all screens as text, one below the other.
func (s *Snapshot) Text() string {
	var text strings.Builder
	for _, line := range s.summary() {
		text.WriteString(line + "\n")
	}
	for screen := jobsScreen; screen < helpScreen; screen++ {
		content := s.table(screen)
		text.WriteString("\n" + content.head + "\n")
		for _, line := range content.lines {
			text.WriteString(line + "\n")
		}
	}
	return text.String()
}

// frame is what is drawn in addition to the snapshot: the selected screen and row, the terminal's size and a message in the last line.
type frame struct {
	screen        screen
	row           int
	width, height int
	message       string
}

// render draws one screen, with as many lines as the terminal has and none wider than it.
func (s *Snapshot) render(frame frame) string {
	lines := append(s.summary(), menu(frame.screen), "")
	content := s.table(frame.screen)
	if content.head != "" {
		lines = append(lines, "  "+content.head)
	}
	detail := s.detail(frame.screen, frame.row)
	maxRows := max(frame.height-len(lines)-len(detail)-1, 1)
	lines = append(lines, visibleRows(content.lines, maxRows, frame)...)
	lines = append(lines, detail...)
	for len(lines) < frame.height-1 {
		lines = append(lines, "")
	}
	lines = append(lines[:min(len(lines), max(frame.height-1, 1))], frame.message)
	for i, line := range lines {
		lines[i] = truncate(line, frame.width)
	}
	return strings.Join(lines, "\n")
}

// menu returns the line that names the screens with their keys, the selected one in brackets.
func menu(selected screen) string {
	var items strings.Builder
	for screen := jobsScreen; screen <= helpScreen; screen++ {
		key, name := fmt.Sprint(int(screen)+1), screen.String()
		if screen == helpScreen {
			key = "?"
		}
		if screen == selected {
			name = "[" + name + "]"
		}
		items.WriteString(key + " " + name + "  ")
	}
	return items.String() + "q quit"
}

// visibleRows returns at most maxRows rows around the selected one, which is marked.
func visibleRows(rows []string, maxRows int, f frame) []string {
	first := max(0, min(f.row-maxRows/2, len(rows)-maxRows))
	var lines []string
	for i := first; i < min(first+maxRows, len(rows)); i++ {
		marker := "  "
		if i == f.row && f.screen != helpScreen {
			marker = "> "
		}
		lines = append(lines, marker+rows[i])
	}
	return lines
}

// truncate cuts the text to width characters and replaces control characters, which the terminal would interpret.
func truncate(text string, width int) string {
	shown := make([]rune, 0, width)
	for _, char := range text {
		if len(shown) == width {
			break
		}
		if isControl(char) {
			char = '?'
		}
		shown = append(shown, char)
	}
	return string(shown)
}

// isControl reports whether the character is a control character of ASCII or of Latin-1 (C1).
func isControl(char rune) bool {
	return char < ' ' || char == 0x7f || char >= 0x80 && char < 0xa0
}

func formatSeconds(seconds float64) string {
	if seconds <= 0 {
		return "-"
	}
	return (time.Duration(seconds) * time.Second).String()
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
