package config

import (
	"bytes"
	"encoding/xml"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"gullrudder/internal/units"
)

// LineError reports a malformed or invalid line of an operators' file.
type LineError struct {
	Line int // from 1
	Err  error
}

// Error returns the line number and the reason.
func (e *LineError) Error() string { return fmt.Sprintf("options: line %d: %v", e.Line, e.Err) }

// Unwrap returns the reason.
func (e *LineError) Unwrap() error { return e.Err }

// optionField is one option of a file: its valid range, and access to its value. Durations are in seconds.
type optionField struct {
	low, high float64
	get       func() float64
	set       func(v float64)
}

func durationField(low, high time.Duration, target *time.Duration) optionField {
	return optionField{
		low.Seconds(),
		high.Seconds(),
		func() float64 { return target.Seconds() },
		func(v float64) { *target = units.DurationFromSeconds(v) },
	}
}

func numberField(low, high float64, target *float64) optionField {
	return optionField{low, high, func() float64 { return *target }, func(v float64) { *target = v }}
}

func countField(low, high int, target *int) optionField {
	return optionField{float64(low), float64(high), func() float64 { return float64(*target) }, func(v float64) { *target = int(v) }}
}

// elementParser reads a root element with one element for each option.
type elementParser struct {
	rootName string
	fields   map[string]optionField // by the names of their elements
	seen     map[string]bool
	depth    int // number of open elements
	sawRoot  bool
	name     string // of the open option element
	text     string // of that element so far
}

// parseElements sets the fields whose elements are in the file. Durations are in seconds or in Go's form (90s, 2m). An unknown or
// repeated element, or a value out of range, is a LineError.
func parseElements(raw []byte, rootName string, fields map[string]optionField) error {
	parser := elementParser{rootName: rootName, fields: fields, seen: map[string]bool{}}
	decoder := xml.NewDecoder(bytes.NewReader(raw))
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return parser.end()
		}
		if err == nil {
			err = parser.parseToken(token)
		}
		if err != nil {
			line, _ := decoder.InputPos()
			return &LineError{line, err}
		}
	}
}

func (p *elementParser) end() error {
	if !p.sawRoot {
		return &LineError{1, fmt.Errorf("no <%s> element", p.rootName)}
	}
	return nil
}

func (p *elementParser) parseToken(token xml.Token) error {
	switch element := token.(type) {
	case xml.StartElement:
		return p.startElement(element)
	case xml.CharData:
		return p.characterData(string(element))
	case xml.EndElement:
		return p.endElement()
	}
	return nil
}

func (p *elementParser) startElement(element xml.StartElement) error {
	p.depth++
	if len(element.Attr) > 0 {
		return fmt.Errorf("attribute %s is unknown", element.Attr[0].Name.Local)
	}
	if p.depth == 1 && element.Name.Local == p.rootName {
		p.sawRoot = true
		return nil
	}
	p.name, p.text = element.Name.Local, ""
	if _, ok := p.fields[p.name]; !ok || p.depth != 2 {
		return fmt.Errorf("element <%s> is unknown here", p.name)
	}
	if p.seen[p.name] {
		return fmt.Errorf("<%s> is there twice", p.name)
	}
	p.seen[p.name] = true
	return nil
}

func (p *elementParser) characterData(text string) error {
	p.text += text
	if p.depth < 2 && strings.TrimSpace(text) != "" {
		return errors.New("text outside an element")
	}
	return nil
}

func (p *elementParser) endElement() error {
	p.depth--
	if p.depth != 1 {
		return nil // the end of the root element
	}
	value, err := parseAmount(strings.TrimSpace(p.text))
	if err != nil {
		return fmt.Errorf("<%s>: %w", p.name, err)
	}
	field := p.fields[p.name]
	if !(value >= field.low && value <= field.high) { // also rejects NaN
		return fmt.Errorf("<%s>: %g is not between %g and %g", p.name, value, field.low, field.high)
	}
	field.set(value)
	return nil
}

// parseAmount reads a number, or a duration, which it returns in seconds.
func parseAmount(text string) (float64, error) {
	if number, err := strconv.ParseFloat(text, 64); err == nil {
		return number, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%q is neither a number nor a span of time", text)
	}
	return duration.Seconds(), nil
}
