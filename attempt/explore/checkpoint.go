package explore

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"time"

	"github.com/google/renameio/v2"
	"github.com/zeebo/xxh3"
)

// A checkpoint holds the visited states and the unexpanded ones: a header in JSON on one line, the hashes, the choices, and
// a checksum of all that. The file is replaced atomically.

const checkpointVersion = 1

type checkpointHead struct {
	Version     int           `json:"peathollow_checkpoint"`
	Setup       Setup         `json:"setup"`
	Reduction   string        `json:"reduction"`
	States      int           `json:"states"`
	Transitions int64         `json:"transitions"`
	Nodes       int           `json:"nodes"`
	Spent       time.Duration `json:"spent"`
	Depth       int           `json:"depth"`
	Outcomes    []string      `json:"outcomes"`
}

var errCheckpoint = errors.New("checkpoint is damaged")

func (s *Search) save() error {
	var b bytes.Buffer
	head := checkpointHead{checkpointVersion, s.Setup, s.Reduction.String(), s.seen.len(), s.transitions.Load(), len(s.stack),
		s.earlierTime + time.Since(s.startedAt), s.maxDepth, s.Outcomes()}
	if err := json.NewEncoder(&b).Encode(head); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	writeWord := func(x uint64) { b.Write(binary.LittleEndian.AppendUint64(nil, x)) }
	s.seen.each(writeWord)
	for _, n := range s.stack {
		writeWord(uint64(n.steps))
		writeWord(uint64(len(n.choices)))
		b.Write(n.choices)
	}
	writeWord(xxh3.Hash(b.Bytes()))
	if err := renameio.WriteFile(s.CheckpointFile, b.Bytes(), 0o644); err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	return nil
}

// equal reports whether two setups have the same values, ignoring what Validate derived from them.
func (s *Setup) equal(t *Setup) bool {
	a, b := *s, *t
	a.Faults, a.mixerSettings, a.enabled, b.Faults, b.mixerSettings, b.enabled =
		nil, nil, [faultCount]bool{}, nil, nil, [faultCount]bool{}
	return fmt.Sprint(a) == fmt.Sprint(b) && slices.Equal(s.Faults, t.Faults)
}

func (s *Search) removeCheckpoint() error {
	if err := os.Remove(s.CheckpointFile); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("checkpoint: %w", err)
	}
	return nil
}

// load resumes from the checkpoint file, if there is one. It fails if the checkpoint is of another search.
func (s *Search) load() error {
	text, err := os.ReadFile(s.CheckpointFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("checkpoint: %w", err)
	}
	if err := s.restore(text); err != nil {
		return fmt.Errorf("checkpoint %s: %w", s.CheckpointFile, err)
	}
	s.resumed = true
	return nil
}

func (s *Search) restore(text []byte) error {
	if len(text) < 8 || binary.LittleEndian.Uint64(text[len(text)-8:]) != xxh3.Hash(text[:len(text)-8]) {
		return errCheckpoint
	}
	line, rest, _ := bytes.Cut(text[:len(text)-8], []byte{'\n'})
	var head checkpointHead
	if err := json.Unmarshal(line, &head); err != nil {
		return fmt.Errorf("%w: %v", errCheckpoint, err)
	}
	switch {
	case head.Version != checkpointVersion:
		return fmt.Errorf("version %d is not supported; this program reads version %d", head.Version, checkpointVersion)
	case !head.Setup.equal(&s.Setup) || head.Reduction != s.Reduction.String():
		return errors.New("it belongs to another search: use the same flags, or remove it")
	}
	readWord := func() (x uint64, ok bool) {
		if len(rest) < 8 {
			return 0, false
		}
		x, rest = binary.LittleEndian.Uint64(rest), rest[8:]
		return x, true
	}
	for range head.States {
		h, ok := readWord()
		if !ok {
			return errCheckpoint
		}
		s.seen.add(h)
	}
	for range head.Nodes {
		steps, ok := readWord()
		n, ok2 := readWord()
		if !ok || !ok2 || uint64(len(rest)) < n {
			return errCheckpoint
		}
		s.stack = append(s.stack, node{choices: bytes.Clone(rest[:n]), steps: int(steps)})
		rest = rest[n:]
	}
	s.states.Store(int64(head.States))
	s.transitions.Store(head.Transitions)
	s.earlierTime, s.maxDepth = head.Spent, head.Depth
	for _, o := range head.Outcomes {
		s.outcomes[o] = true
	}
	return nil
}
