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

// Limits of a key file.
const (
	maxKeyFileBytes = 4 << 10
	maxKeys         = 8
)

// ReadKeys reads a key file with one key per line, of 16, 24 or 32 bytes in base64. The first key encrypts; the others are
// accepted for decryption only. Empty lines and lines that begin with # are ignored. The file must be accessible to its
// owner only. No error contains any text of the file.
func ReadKeys(path string) ([][]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		// The error contains the path, which the operator chose, and nothing of the file's contents.
		return nil, fmt.Errorf("key file: %w", err)
	}
	defer f.Close()
	info, err := f.Stat()
	switch {
	case err != nil:
		return nil, fmt.Errorf("key file: %w", err)
	case !info.Mode().IsRegular():
		return nil, fmt.Errorf("key file %s: not a regular file", path)
	case info.Mode().Perm()&0o077 != 0:
		return nil, fmt.Errorf("key file %s: accessible to others (mode %v); chmod 600", path, info.Mode().Perm()&fs.ModePerm)
	case info.Size() > maxKeyFileBytes:
		return nil, fmt.Errorf("key file %s: more than %d bytes", path, maxKeyFileBytes)
	}
	text := make([]byte, maxKeyFileBytes)
	n, err := f.Read(text)
	if err != nil {
		return nil, fmt.Errorf("key file %s: empty or unreadable", path)
	}
	return parseKeys(path, text[:n])
}

// parseKeys parses the text of a key file; path is for error messages only.
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
		if keys = append(keys, key); len(keys) > maxKeys {
			return nil, fmt.Errorf("key file %s: more than %d keys", path, maxKeys)
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
