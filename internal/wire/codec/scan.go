package codec

// element is the header of a value: of a collection without its items, or of any other value with all of its bytes.
type element struct {
	isMap bool
	items int // of an array; of a map, its keys and values; 0 of any other value
}

// collection is an array or map whose items are being read.
type collection struct {
	isMap     bool
	itemsLeft int // of a map, keys and values; a key is next if the number is even
}

// scanner reads a MessagePack value element by element. It uses no recursion, so that the depth of a value costs little memory.
type scanner struct {
	rest []byte
	open []collection // the collections around the next element, the outermost first
	done bool         // the first value is complete
}

// depth returns the number of collections around the next element.
func (s *scanner) depth() int { return len(s.open) }

// next reads the next element and enters it if it is a collection.
func (s *scanner) next() error {
	if len(s.rest) == 0 {
		return ErrTruncated
	}
	if depth := len(s.open); depth > 0 && s.open[depth-1].isMap && s.open[depth-1].itemsLeft%2 == 0 && !isStringCode(s.rest[0]) {
		return ErrKeyNotString
	}
	read, rest, err := readElement(s.rest)
	if err != nil {
		return err
	}
	s.rest = rest
	if read.items > 0 {
		s.open = append(s.open, collection{read.isMap, read.items})
	} else {
		s.completeValue()
	}
	return nil
}

// completeValue counts a complete value in the collection around it, and leaves the collections that it completes.
func (s *scanner) completeValue() {
	for depth := len(s.open); depth > 0; depth-- {
		s.open[depth-1].itemsLeft--
		if s.open[depth-1].itemsLeft > 0 {
			return
		}
		s.open = s.open[:depth-1]
	}
	s.done = true
}

// scan reads the first value in b. It returns the bytes that follow the value, and the greatest depth of an element in it.
func scan(b []byte) (rest []byte, maxDepth int, err error) {
	s := scanner{rest: b, open: make([]collection, 0, maxNestingDepth+1)}
	for !s.done {
		maxDepth = max(maxDepth, s.depth())
		if err := s.next(); err != nil {
			return nil, maxDepth, err
		}
	}
	return s.rest, maxDepth, nil
}

// skipValue checks the first value in b and returns the bytes that follow it.
func skipValue(b []byte) ([]byte, error) {
	rest, maxDepth, err := scan(b)
	if err == nil && maxDepth > maxNestingDepth {
		err = ErrNestedTooDeeply
	}
	return rest, err
}

// pruneDeepValues returns the body of a valid value in which null replaces each collection whose items are nested too deeply.
func pruneDeepValues(body []byte) ([]byte, error) {
	pruned := make([]byte, 0, len(body))
	s := scanner{rest: body}
	for !s.done {
		before := s.rest
		if s.depth() == maxNestingDepth && isCollectionCode(before[0]) {
			rest, _, err := scan(before)
			if err != nil {
				return nil, err
			}
			s.rest = rest
			s.completeValue()
			pruned = append(pruned, nilCode)
			continue
		}
		if err := s.next(); err != nil {
			return nil, err
		}
		pruned = append(pruned, before[:len(before)-len(s.rest)]...)
	}
	return pruned, nil
}

func isCollectionCode(code byte) bool {
	return code > positiveFixintMax && code <= fixarrayMax || code >= array16Code && code <= map32Code
}

// readElement reads the element at the start of b, which is not empty.
func readElement(b []byte) (read element, rest []byte, err error) {
	code, rest := b[0], b[1:]
	switch {
	case code <= positiveFixintMax || code >= negativeFixintMin || code == nilCode || code == falseCode || code == trueCode:
		return element{}, rest, nil
	case code <= fixmapMax:
		return mapElement(int(code & fixCollectionMask)), rest, nil
	case code <= fixarrayMax:
		return arrayElement(int(code & fixCollectionMask)), rest, nil
	case code <= fixstrMax:
		rest, err = skipBytes(rest, int(code&fixstrMask))
		return element{}, rest, err
	}
	return readElementAfterCode(code, rest)
}

// readElementAfterCode is readElement for an element whose first byte holds only its type. That byte is passed as code and is not part of
// b.
func readElementAfterCode(code byte, b []byte) (read element, rest []byte, err error) {
	switch code {
	case uint8Code, int8Code:
		rest, err = skipBytes(b, 1)
	case uint16Code, int16Code:
		rest, err = skipBytes(b, 2)
	case float32Code, uint32Code, int32Code:
		rest, err = skipBytes(b, 4)
	case float64Code, uint64Code, int64Code:
		rest, err = skipBytes(b, 8)
	case str8Code, str16Code, str32Code:
		rest, err = skipString(b, 1<<(code-str8Code))
	case array16Code, array32Code:
		length, rest, err := readLength(b, 2<<(code-array16Code))
		return arrayElement(length), rest, err
	case map16Code, map32Code:
		length, rest, err := readLength(b, 2<<(code-map16Code))
		return mapElement(length), rest, err
	default:
		err = &UnsupportedTypeError{Code: code}
	}
	return element{}, rest, err
}

func arrayElement(length int) element { return element{items: length} }

func mapElement(pairs int) element { return element{isMap: true, items: 2 * pairs} }

// skipString skips a string whose length has the given width in bytes.
func skipString(b []byte, width int) ([]byte, error) {
	length, rest, err := readLength(b, width)
	if err != nil {
		return nil, err
	}
	return skipBytes(rest, length)
}

func skipBytes(b []byte, count int) ([]byte, error) {
	if len(b) < count {
		return nil, ErrTruncated
	}
	return b[count:], nil
}

func isStringCode(code byte) bool {
	return code >= fixstrMin && code <= fixstrMax || code >= str8Code && code <= str32Code
}
