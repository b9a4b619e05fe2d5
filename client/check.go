package client

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"

	"peathollow/manifest"
)

// InvalidError is the error for a configuration file that is not valid: the position, the key and what was expected.
type InvalidError struct {
	File   string
	Line   int    // 0 if unknown
	Path   string // of the key, for example routes[3].plant; "" for the whole document
	Reason string
}

func (e *InvalidError) Error() string {
	position := e.File
	if e.Line > 0 {
		position += ":" + strconv.Itoa(e.Line)
	}
	if e.Path != "" {
		position += ": " + e.Path
	}
	return fmt.Sprintf("%s: %s", position, e.Reason)
}

// Check parses a configuration as the system does. Its error is an *Invalid.
func Check(file string, raw []byte) (*manifest.Manifest, error) {
	m, err := manifest.Parse(raw)
	if err == nil {
		return m, nil
	}
	invalid := &InvalidError{File: file, Reason: err.Error()}
	var validation *manifest.ValidationError
	if errors.As(err, &validation) {
		invalid.Path, invalid.Reason = validation.Path, validation.Reason
	}
	invalid.Line = lineOf(raw, invalid.Path)
	return nil, invalid
}

// lineOf returns the line of the key at path, or of the object that lacks the key. If path is empty, it returns the line of
// the first JSON syntax error, or 0 if there is none.
func lineOf(raw []byte, path string) int {
	offset := 0
	if path == "" {
		var document json.RawMessage
		var syntax *json.SyntaxError
		if !errors.As(json.Unmarshal(raw, &document), &syntax) {
			return 0
		}
		offset = int(syntax.Offset)
	} else {
		f := keyFinder{in: json.NewDecoder(bytes.NewReader(raw))}
		f.findIn(splitPath(path))
		offset = f.offset
	}
	raw = bytes.TrimRight(raw, " \t\r\n") // report a truncated document at its last line
	return 1 + bytes.Count(raw[:min(offset, len(raw))], []byte("\n"))
}

// splitPath splits routes[3].plant into routes, 3 and plant.
func splitPath(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

// keyFinder follows a path through a document. offset is the position after the last element of the path that exists.
type keyFinder struct {
	in     *json.Decoder
	offset int
}

// findIn reads a value and reports whether the path ends within it. In that case the rest of the document is not read. A
// nil path means that the value is not on the path and is only skipped.
func (f *keyFinder) findIn(path []string) bool {
	token, err := f.in.Token()
	if err != nil {
		return true
	}
	if path != nil {
		f.offset = int(f.in.InputOffset()) // a token never contains a line break, so its end is on the same line
		if len(path) == 0 {
			return true
		}
	}
	opening, nested := token.(json.Delim)
	if !nested {
		return path != nil
	}
	for i := 0; f.in.More(); i++ {
		name := strconv.Itoa(i)
		if opening == '{' {
			key, err := f.in.Token()
			if err != nil {
				return true
			}
			name = key.(string)
		}
		var rest []string // nil: not on the path
		if path != nil && name == path[0] {
			f.offset = int(f.in.InputOffset())
			rest = path[1:]
		}
		if f.findIn(rest) {
			return true
		}
	}
	f.in.Token() // the closing bracket
	return path != nil
}
