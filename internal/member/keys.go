package member

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"strings"
)

// Bounds of a key file.
const (
	keyBytes = 4 << 10
	keysMost = 8
)

// ReadKeys reads a key file: a key on each line, 16, 24 or 32 bytes in base64, the one that seals first; the others
// are still understood. Lines that are empty or begin with # say nothing. The file must be its owner's alone. No
// error holds any of its text.
func ReadKeys(path string) ([][]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		// The path is the operator's own; what os says of it holds nothing of the file.
		return nil, fmt.Errorf("key file: %w", err)
	}
	defer f.Close()
	st, err := f.Stat()
	switch {
	case err != nil:
		return nil, fmt.Errorf("key file: %w", err)
	case !st.Mode().IsRegular():
		return nil, fmt.Errorf("key file %s: not a regular file", path)
	case st.Mode().Perm()&0o077 != 0:
		return nil, fmt.Errorf("key file %s: others may use it (mode %v); chmod 600", path, st.Mode().Perm()&fs.ModePerm)
	case st.Size() > keyBytes:
		return nil, fmt.Errorf("key file %s: more than %d bytes", path, keyBytes)
	}
	text := make([]byte, keyBytes)
	n, err := f.Read(text)
	if err != nil {
		return nil, fmt.Errorf("key file %s: empty or unreadable", path)
	}
	return parseKeys(path, text[:n])
}

func parseKeys(path string, text []byte) ([][]byte, error) {
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		key, err := base64.StdEncoding.DecodeString(line)
		if err != nil {
			return nil, fmt.Errorf("key file %s, line %d: not base64", path, n)
		}
		if len(key) != 16 && len(key) != 24 && len(key) != 32 {
			return nil, fmt.Errorf("key file %s, line %d: a key of %d bytes, not 16, 24 or 32", path, n, len(key))
		}
		for _, k := range keys {
			if bytes.Equal(k, key) {
				return nil, fmt.Errorf("key file %s, line %d: the same key twice", path, n)
			}
		}
		if keys = append(keys, key); len(keys) > keysMost {
			return nil, fmt.Errorf("key file %s: more than %d keys", path, keysMost)
		}
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("key file %s: a line is too long", path)
	}
	if len(keys) == 0 {
		return nil, errNoKey
	}
	return keys, nil
}

var errNoKey = errors.New("key file: no key in it")
