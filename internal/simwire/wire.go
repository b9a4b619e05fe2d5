// Package simwire implements the line protocol of the benchmark simulator: it decodes each line, calls the policy engine of the
// instance that the line names, and writes the actions of that engine as lines. It makes no decisions of its own.
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

// entry is an item of a searcher list.
type entry struct {
	addr            string
	weight, started float64
	shard           int // -1 if the item has none
	hasStart        bool
	state           policy.SearcherState
}

// host holds all instances and the state of the protocol.
type host struct {
	in        *bufio.Reader
	out       bytes.Buffer
	log       io.Writer
	number    [64]byte // buffer for formatting
	fields    [][]byte // of the current line
	now       time.Duration
	instances map[string]*instance
	lists     [16][]entry
	listID    int // the list being defined
	itemsLeft int // items missing from that list
	inBatch   bool
	line      int // number of the current line, for error reports
}

// instance is one mixer with the tables that map its searchers, table types and tenants to indices.
type instance struct {
	host      *host
	name      string
	base      time.Duration // simulation time at which the instance was provisioned
	engine    *policy.Engine
	searchers map[string]int // index by address
	addrs     []string       // address by index
	types     map[string]int
	tenants   map[string]int
}

// Run serves the protocol until the input ends. An invalid line is reported to log and dropped, because one bad line must not
// end all the instances hosted here.
func Run(r io.Reader, w, log io.Writer) error {
	h := &host{in: bufio.NewReaderSize(r, 1<<20), log: log, instances: map[string]*instance{}}
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
		if err == io.EOF && len(line) == 0 && !h.inBatch {
			return nil
		}
		if err != nil {
			return fmt.Errorf("input ended inside a batch or line: %w", err)
		}
		h.line++
		line = line[:len(line)-1]
		if lineErr := h.handle(line); lineErr != nil {
			h.report(lineErr, line)
		}
		if long != nil {
			long = long[:0]
		}
		if !h.inBatch && h.out.Len() > 0 {
			if _, err := w.Write(h.out.Bytes()); err != nil {
				return err
			}
			h.out.Reset()
		}
	}
}

var (
	errFieldCount = errors.New("wrong number of values")
	errValue      = errors.New("unreadable value")
	errWord       = errors.New("unknown word")
	errOutOfPlace = errors.New("out of place")
	errNoInstance = errors.New("instance not provisioned")
	errNoList     = errors.New("list not defined")

	errIncompleteList = errors.New("a list ended early")
)

// fieldCounts holds the number of fields after the first for each word; -1 stands for any number from 2.
var fieldCounts = map[string]int{"ROUND": 1, "COMMIT": 0, "PROVISION": -1, "DETACH": 1, "DEFINE_LIST": 2, "ITEM": 7,
	"ENDPOINTS": 4, "REQUEST": 12, "HEADERS": 5, "RETURNED": 8, "ABANDONED": 2, "TIMEOUT_FIRED": 2,
	"HEALTH_RESULT": 5, "MEMO": 3}

func (h *host) report(err error, line []byte) {
	fmt.Fprintf(h.log, "line %d: %v: %.200q\n", h.line, err, line)
}

// handle decodes a line and passes it to the instance that it names. A panic of an instance is reported to the simulator as
// the end of that instance.
func (h *host) handle(line []byte) (err error) {
	h.fields = h.fields[:0]
	for rest := line; ; {
		i := bytes.IndexByte(rest, ' ')
		if i < 0 {
			h.fields = append(h.fields, rest)
			break
		}
		h.fields = append(h.fields, rest[:i])
		rest = rest[i+1:]
	}
	fields := h.fields
	n, ok := fieldCounts[string(fields[0])]
	if !ok {
		return errWord
	}
	item := string(fields[0]) == "ITEM"
	if h.itemsLeft > 0 && !item {
		h.report(errIncompleteList, line)
		h.itemsLeft = 0
	}
	if h.inBatch == (string(fields[0]) == "ROUND") || (h.itemsLeft > 0) != item {
		return errOutOfPlace
	}
	if item {
		h.itemsLeft--
	}
	if n >= 0 && len(fields) != n+1 || n < 0 && len(fields) < 3 {
		return errFieldCount
	}
	switch string(fields[0]) {
	case "ROUND":
		h.inBatch = true // even with an unreadable clock, because the batch must be answered
		now, err := ms(fields[1])
		if err == nil {
			h.now = now
		}
		return err
	case "COMMIT":
		h.inBatch = false
		h.out.WriteString("READY\n")
		return nil
	case "DEFINE_LIST":
		id, err1 := strconv.Atoi(string(fields[1]))
		n, err2 := strconv.Atoi(string(fields[2]))
		if err1 != nil || err2 != nil || id < 0 || id >= len(h.lists) || n < 0 {
			return errValue
		}
		h.listID, h.itemsLeft, h.lists[id] = id, n, make([]entry, 0, min(n, 1<<16))
		return nil
	case "ITEM":
		return h.item(fields)
	case "PROVISION":
		return h.provision(fields)
	case "DETACH":
		delete(h.instances, string(fields[1]))
		return nil
	}
	in := h.instances[string(fields[1])]
	if in == nil {
		return errNoInstance
	}
	defer func() {
		if cause := recover(); cause != nil {
			text := bytes.ReplaceAll(fmt.Append(nil, cause), []byte("\n"), []byte(" "))
			h.word("DIE", in.name).Write(append(append([]byte{' '}, text...), '\n'))
			err = nil
		}
	}()
	in.engine.Advance(h.now - in.base)
	return in.event(fields)
}

// item adds an entry to the list that is being defined.
func (h *host) item(fields [][]byte) error {
	e := entry{addr: string(fields[5])}
	switch string(fields[1]) {
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
	if e.weight, err = number(fields[2], 1); err != nil {
		return err
	}
	if e.started, err = number(fields[3], 0); err != nil {
		return err
	}
	e.hasStart = e.started > 0
	if e.shard, err = strconv.Atoi(string(fields[4])); err != nil && string(fields[4]) != "-" {
		return errValue
	} else if err != nil {
		e.shard = -1
	}
	h.lists[h.listID] = append(h.lists[h.listID], e)
	return nil
}

// provision creates an instance with the settings of a line.
func (h *host) provision(fields [][]byte) error {
	seed, err := strconv.ParseUint(string(fields[2]), 10, 64)
	if err != nil {
		return errValue
	}
	kv := map[string]string{}
	for _, p := range fields[3:] {
		if k, v, ok := bytes.Cut(p, []byte("=")); ok {
			kv[string(k)] = string(v)
		}
	}
	settings, err := config.Read(kv, seed)
	if err != nil {
		return err
	}
	in := &instance{host: h, name: string(fields[1]), base: h.now, searchers: map[string]int{}, types: settings.Types,
		tenants: settings.Tenants}
	h.instances[in.name] = in
	in.engine = policy.New(settings.Policy, in, 0)
	return nil
}

var modes = map[string]policy.ListMode{"diff": policy.Changes, "snapshot": policy.Full, "disk": policy.Cached,
	"error": policy.Unavailable}

var outcomes = map[string]policy.Outcome{"pass": policy.Succeeded, "fault": policy.Failed, "no_room": policy.Overloaded,
	"too_slow": policy.TimedOut, "no_route": policy.Unreachable, "cut": policy.ConnectionLost, "undone": policy.Cancelled,
	"stale_send": policy.Expired}

// event passes an event to the policy engine.
func (in *instance) event(fields [][]byte) error {
	switch string(fields[0]) {
	case "REQUEST":
		return in.request(fields)
	case "RETURNED":
		id, err1 := strconv.ParseUint(string(fields[2]), 10, 64)
		attempt, err2 := strconv.Atoi(string(fields[3]))
		latency, err3 := ms(fields[6])
		if err1 != nil || err2 != nil || err3 != nil || attempt < 0 {
			return errValue
		}
		outcome, ok := outcomes[string(fields[5])]
		if !ok {
			return errWord
		}
		in.engine.Returned(id, attempt, outcome, latency)
	case "ABANDONED":
		id, err := strconv.ParseUint(string(fields[2]), 10, 64)
		if err != nil {
			return errValue
		}
		in.engine.ClientLeft(id)
	case "TIMEOUT_FIRED":
		token, err := strconv.ParseUint(string(fields[2]), 10, 64)
		if err != nil {
			return errValue
		}
		in.engine.Woke(token)
	case "MEMO":
		from, err := strconv.Atoi(string(fields[2]))
		if err != nil || from < 0 {
			return errValue
		}
		if string(fields[3]) == "-" {
			return nil
		}
		gossip, err := base64.StdEncoding.AppendDecode(nil, fields[3])
		if err != nil {
			return errValue
		}
		in.engine.ReceiveGossip(from, gossip)
	case "ENDPOINTS":
		mode, ok := modes[string(fields[2])]
		if !ok {
			return errWord
		}
		in.engine.ListBegin(mode)
		if mode == policy.Unavailable {
			return nil
		}
		id, err := strconv.Atoi(string(fields[4]))
		if err != nil || id < 0 || id >= len(in.host.lists) {
			return errValue
		}
		if in.host.lists[id] == nil {
			return errNoList
		}
		for _, e := range in.host.lists[id] {
			index, ok := in.searchers[e.addr]
			if !ok {
				index = len(in.addrs)
				in.searchers[e.addr] = index
				in.addrs = append(in.addrs, e.addr)
			}
			started := policy.LongAgo
			if e.hasStart {
				started = config.Milliseconds(e.started) - in.base
			}
			in.engine.ListEntry(index, e.state, e.weight, started, e.shard)
		}
		in.engine.ListEnd(mode)
	}
	return nil
}

// request starts a scan or, if the line has a shard, one of its parts.
func (in *instance) request(fields [][]byte) error {
	id, err := strconv.ParseUint(string(fields[2]), 10, 64)
	sequence, err1 := strconv.ParseUint(string(fields[8]), 10, 64)
	shard, err2 := strconv.Atoi(string(fields[9]))
	amount, err3 := number(fields[10], 1)
	left, err4 := ms(fields[6])
	if err != nil || err1 != nil || err2 != nil || err3 != nil || err4 != nil {
		return errValue
	}
	if shard >= 0 {
		in.engine.Part(id, sequence, shard, amount)
		return nil
	}
	work, err := ms(fields[7])
	if err != nil {
		return err
	}
	tableType, ok := in.types[string(fields[3])]
	if !ok {
		return errWord
	}
	tenant, ok := in.tenants[string(fields[4])]
	if !ok {
		tenant = -1
	}
	in.engine.Scan(id, sequence, tableType, tenant, left, work, int(amount), string(fields[11]) == "1")
	return nil
}

// number parses a value, and returns absent for a field without one.
func number(b []byte, absent float64) (float64, error) {
	x, err := config.ParseNumber(string(b), absent)
	if err != nil {
		return 0, errValue
	}
	return x, nil
}

// ms parses a time in milliseconds.
func ms(b []byte) (time.Duration, error) {
	x, err := number(b, 0)
	return config.Milliseconds(x), err
}
