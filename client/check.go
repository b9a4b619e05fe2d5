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

// Invalid says what is wrong with a file that holds a configuration: where, which key, and what was expected.
type Invalid struct {
	File string
	Line int    // 0 if it can't be told
	Path string // of the key, as routes[3].plant; "" for the document as a whole
	Why  string
}

func (e *Invalid) Error() string {
	at := e.File
	if e.Line > 0 {
		at += ":" + strconv.Itoa(e.Line)
	}
	if e.Path != "" {
		at += ": " + e.Path
	}
	return fmt.Sprintf("%s: %s", at, e.Why)
}

// Check reads a configuration as the system would; its error is an *Invalid.
func Check(file string, raw []byte) (*manifest.Manifest, error) {
	m, err := manifest.Parse(raw)
	if err == nil {
		return m, nil
	}
	x := &Invalid{File: file, Why: err.Error()}
	var bad *manifest.ValidationError
	if errors.As(err, &bad) {
		x.Path, x.Why = bad.Path, bad.Reason
	}
	x.Line = line(raw, x.Path)
	return nil, x
}

// line finds the line of a key, or of the object that lacks it; of the first byte that is no JSON when path is empty.
func line(raw []byte, path string) int {
	at := 0
	if path == "" {
		var whole json.RawMessage
		var bad *json.SyntaxError
		if !errors.As(json.Unmarshal(raw, &whole), &bad) {
			return 0
		}
		at = int(bad.Offset)
	} else {
		f := finder{in: json.NewDecoder(bytes.NewReader(raw))}
		f.value(steps(path))
		at = f.at
	}
	raw = bytes.TrimRight(raw, " \t\r\n") // a document cut short ends on its last line
	return 1 + bytes.Count(raw[:min(at, len(raw))], []byte("\n"))
}

// steps cuts routes[3].plant into routes, 3 and plant.
func steps(path string) []string {
	return strings.FieldsFunc(path, func(r rune) bool { return r == '.' || r == '[' || r == ']' })
}

// finder walks through a document along a path. at is where the last step that is there was read.
type finder struct {
	in *json.Decoder
	at int
}

// value reads a value and tells whether the path has ended in it; what comes behind it is not read then.
func (f *finder) value(path []string) bool {
	t, err := f.in.Token()
	if err != nil {
		return true
	}
	if path != nil {
		f.at = int(f.in.InputOffset()) // no token but a string spans anything, and no string a line's end
		if len(path) == 0 {
			return true
		}
	}
	open, nested := t.(json.Delim)
	if !nested {
		return path != nil
	}
	for i := 0; f.in.More(); i++ {
		name := strconv.Itoa(i)
		if open == '{' {
			key, err := f.in.Token()
			if err != nil {
				return true
			}
			name = key.(string)
		}
		var further []string // nil: off the path
		if path != nil && name == path[0] {
			f.at = int(f.in.InputOffset())
			further = path[1:]
		}
		if f.value(further) {
			return true
		}
	}
	f.in.Token() // the closing bracket
	return path != nil
}
