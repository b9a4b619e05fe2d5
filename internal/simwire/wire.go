// Package simwire speaks the bench's wire: it decodes a line, calls the instance it names, and writes down
// what that instance wants done. It decides nothing.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"peathollow/internal/config"
	"peathollow/policy"
)

type entry struct {
	addr            string
	weight, started float64
	cell            int
	dated           bool
	state           policy.SearcherState
}

type host struct {
	in    *bufio.Reader
	out   bytes.Buffer
	log   io.Writer
	num   [64]byte
	f     [][]byte
	now   time.Duration
	insts map[string]*inst
	lists [16][]entry
	fill  int // list being defined
	want  int
	open  bool
	line  int
}

// inst is one mixer and the tables that give its searchers small indices.
type inst struct {
	h       *host
	name    string
	base    time.Duration
	m       *policy.Engine
	srv     map[string]int
	addr    []string
	types   map[string]int
	tenants map[string]int
}

// Run serves the wire until the input ends. A line that is not of the wire is reported to log and dropped: one
// bad line must not take down all the instances hosted here.
func Run(r io.Reader, w, log io.Writer) error {
	h := &host{in: bufio.NewReaderSize(r, 1<<20), log: log, insts: map[string]*inst{}}
	var long []byte
	for {
		line, err := h.in.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			long = append(long, line...)
			continue
		}
		if len(long) > 0 {
			long = append(long, line...)
			line = long
		}
		if err == io.EOF && len(line) == 0 && !h.open {
			return nil
		}
		if err != nil {
			return fmt.Errorf("input ended inside a batch or line: %w", err)
		}
		h.line++
		line = line[:len(line)-1]
		if bad := h.take(line); bad != nil {
			h.report(bad, line)
		}
		if long != nil {
			long = long[:0]
		}
		if !h.open && h.out.Len() > 0 {
			if _, err := w.Write(h.out.Bytes()); err != nil {
				return err
			}
			h.out.Reset()
		}
	}
}

var (
	errShort  = errors.New("wrong number of values")
	errNumber = errors.New("unreadable value")
	errWord   = errors.New("unknown word")
	errOrder  = errors.New("out of place")
	errInst   = errors.New("instance not provisioned")
	errList   = errors.New("list not defined")

	errShortList = errors.New("a list ended early")
)

// sizes are the numbers of fields after the first; -1 where the rest of the line is one of them.
var sizes = map[string]int{"ROUND": 1, "COMMIT": 0, "PROVISION": -1, "DETACH": 1, "DEFINE_LIST": 2, "ITEM": 7,
	"ENDPOINTS": 4, "REQUEST": 12, "HEADERS": 5, "RETURNED": 8, "ABANDONED": 2, "TIMEOUT_FIRED": 2,
	"HEALTH_RESULT": 5, "MEMO": 3}

func (h *host) report(bad error, line []byte) {
	fmt.Fprintf(h.log, "line %d: %v: %.200q\n", h.line, bad, line)
}

func (h *host) take(line []byte) (err error) {
	h.f = h.f[:0]
	for rest := line; ; {
		i := bytes.IndexByte(rest, ' ')
		if i < 0 {
			h.f = append(h.f, rest)
			break
		}
		h.f = append(h.f, rest[:i])
		rest = rest[i+1:]
	}
	f := h.f
	n, ok := sizes[string(f[0])]
	if !ok {
		return errWord
	}
	item := string(f[0]) == "ITEM"
	if h.want > 0 && !item {
		h.report(errShortList, line)
		h.want = 0
	}
	if h.open == (string(f[0]) == "ROUND") || (h.want > 0) != item {
		return errOrder
	}
	if item {
		h.want--
	}
	if n >= 0 && len(f) != n+1 || n < 0 && len(f) < 3 {
		return errShort
	}
	switch string(f[0]) {
	case "ROUND":
		h.open = true // with an unreadable clock too: the batch is answered all the same
		now, err := ms(f[1])
		if err == nil {
			h.now = now
		}
		return err
	case "COMMIT":
		h.open = false
		h.out.WriteString("READY\n")
		return nil
	case "DEFINE_LIST":
		id, err1 := strconv.Atoi(string(f[1]))
		n, err2 := strconv.Atoi(string(f[2]))
		if err1 != nil || err2 != nil || id < 0 || id >= len(h.lists) || n < 0 {
			return errNumber
		}
		h.fill, h.want, h.lists[id] = id, n, make([]entry, 0, min(n, 1<<16))
		return nil
	case "ITEM":
		return h.item(f)
	case "PROVISION":
		return h.provision(f)
	case "DETACH":
		delete(h.insts, string(f[1]))
		return nil
	}
	in := h.insts[string(f[1])]
	if in == nil {
		return errInst
	}
	defer func() {
		if e := recover(); e != nil {
			text := bytes.ReplaceAll(fmt.Append(nil, e), []byte("\n"), []byte(" "))
			h.word("DIE", in.name).Write(append(append([]byte{' '}, text...), '\n'))
			err = nil
		}
	}()
	in.m.Advance(h.now - in.base)
	return in.event(f)
}

func (h *host) item(f [][]byte) error {
	e := entry{addr: string(f[5])}
	switch string(f[1]) {
	case "ready":
		e.state = policy.Ready
	case "draining":
		e.state = policy.Draining
	case "gone":
		e.state = policy.Gone
	default:
		return errWord
	}
	var err error
	if e.weight, err = number(f[2], 1); err != nil {
		return err
	}
	if e.started, err = number(f[3], 0); err != nil {
		return err
	}
	e.dated = e.started > 0
	if e.cell, err = strconv.Atoi(string(f[4])); err != nil && string(f[4]) != "-" {
		return errNumber
	} else if err != nil {
		e.cell = -1
	}
	h.lists[h.fill] = append(h.lists[h.fill], e)
	return nil
}

func (h *host) provision(f [][]byte) error {
	seed, err := strconv.ParseUint(string(f[2]), 10, 64)
	if err != nil {
		return errNumber
	}
	kv := map[string]string{}
	for _, p := range f[3:] {
		if k, v, ok := bytes.Cut(p, []byte("=")); ok {
			kv[string(k)] = string(v)
		}
	}
	set, err := config.Read(kv, seed)
	if err != nil {
		return err
	}
	in := &inst{h: h, name: string(f[1]), base: h.now, srv: map[string]int{}, types: set.Types, tenants: set.Tenants}
	h.insts[in.name] = in
	in.m = policy.New(set.Brain, in, 0)
	return nil
}

var modes = map[string]policy.ListMode{"diff": policy.Changes, "snapshot": policy.Full, "disk": policy.Cached,
	"error": policy.Unavailable}

var outcomes = map[string]policy.Outcome{"pass": policy.Succeeded, "fault": policy.Failed, "no_room": policy.Overloaded,
	"too_slow": policy.TimedOut, "no_route": policy.Unreachable, "cut": policy.ConnectionLost, "undone": policy.Cancelled,
	"stale_send": policy.Expired}

func (in *inst) event(f [][]byte) error {
	switch string(f[0]) {
	case "REQUEST":
		return in.request(f)
	case "RETURNED":
		id, err1 := strconv.ParseUint(string(f[2]), 10, 64)
		leg, err2 := strconv.Atoi(string(f[3]))
		took, err3 := ms(f[6])
		if err1 != nil || err2 != nil || err3 != nil || leg < 0 {
			return errNumber
		}
		rc, ok := outcomes[string(f[5])]
		if !ok {
			return errWord
		}
		in.m.Returned(id, leg, rc, took)
	case "ABANDONED":
		id, err := strconv.ParseUint(string(f[2]), 10, 64)
		if err != nil {
			return errNumber
		}
		in.m.ClientLeft(id)
	case "TIMEOUT_FIRED":
		ctx, err := strconv.ParseUint(string(f[2]), 10, 64)
		if err != nil {
			return errNumber
		}
		in.m.Woke(ctx)
	case "MEMO":
		from, err := strconv.Atoi(string(f[2]))
		if err != nil || from < 0 {
			return errNumber
		}
		if string(f[3]) == "-" {
			return nil
		}
		news, err := base64.StdEncoding.AppendDecode(nil, f[3])
		if err != nil {
			return errNumber
		}
		in.m.ReceiveGossip(from, news)
	case "ENDPOINTS":
		mode, ok := modes[string(f[2])]
		if !ok {
			return errWord
		}
		in.m.ListBegin(mode)
		if mode == policy.Unavailable {
			return nil
		}
		id, err := strconv.Atoi(string(f[4]))
		if err != nil || id < 0 || id >= len(in.h.lists) {
			return errNumber
		}
		if in.h.lists[id] == nil {
			return errList
		}
		for _, e := range in.h.lists[id] {
			i, ok := in.srv[e.addr]
			if !ok {
				i = len(in.addr)
				in.srv[e.addr] = i
				in.addr = append(in.addr, e.addr)
			}
			started := policy.LongAgo
			if e.dated {
				started = config.Span(e.started) - in.base
			}
			in.m.ListEntry(i, e.state, e.weight, started, e.cell)
		}
		in.m.ListEnd(mode)
	}
	return nil
}

func (in *inst) request(f [][]byte) error {
	id, err := strconv.ParseUint(string(f[2]), 10, 64)
	no, err1 := strconv.ParseUint(string(f[8]), 10, 64)
	shard, err2 := strconv.Atoi(string(f[9]))
	amount, err3 := number(f[10], 1)
	left, err4 := ms(f[6])
	if err != nil || err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return errNumber
	}
	if shard >= 0 {
		in.m.Part(id, no, shard, amount)
		return nil
	}
	work, err := ms(f[7])
	if err != nil {
		return err
	}
	ty, ok := in.types[string(f[3])]
	if !ok {
		return errWord
	}
	tenant, ok := in.tenants[string(f[4])]
	if !ok {
		tenant = -1
	}
	in.m.Scan(id, no, ty, tenant, left, work, int(amount), string(f[11]) == "1")
	return nil
}

func number(b []byte, absent float64) (float64, error) {
	x, err := config.Number(string(b), absent)
	if err != nil {
		return 0, errNumber
	}
	return x, nil
}

func ms(b []byte) (time.Duration, error) {
	x, err := number(b, 0)
	return config.Span(x), err
}
