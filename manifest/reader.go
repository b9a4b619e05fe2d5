package manifest

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"
)

const (
	maxNumber = math.MaxFloat64
	// maxExactInteger is the largest value up to which a float64 represents every
	// integer exactly.
	maxExactInteger = 1 << 53
	// maxDuration caps longer durations. No request waits that long, and sums of
	// such durations do not overflow.
	maxDuration = 1000 * time.Hour
)

// node is a position in the document. Its path is built from the parents only
// when an error message needs it.
type node struct {
	v      *fastjson.Value // nil if absent
	parent *node
	name   string
	index  int // position in an array, when name is empty
}

// member returns the member of that name. A null member counts as absent, and so
// does every member of a value that is not an object.
func (n *node) member(name string) node {
	child := node{parent: n, name: name}
	if n.v != nil && n.v.Type() == fastjson.TypeObject {
		child.v = n.v.Get(name)
	}
	if child.v != nil && child.v.Type() == fastjson.TypeNull {
		child.v = nil
	}
	return child
}

// path returns the path from the root of the document, such as "routes[0].host".
func (n *node) path() string {
	switch {
	case n.parent == nil:
		return ""
	case n.name == "":
		return n.parent.path() + "[" + strconv.Itoa(n.index) + "]"
	case n.parent.parent == nil:
		return n.name
	}
	return n.parent.path() + "." + n.name
}

// reader reads typed values and keeps the first error. The values it returns
// after an error are discarded with the whole result.
type reader struct{ err error }

// fail records an error at n, unless an earlier one is recorded.
func (r *reader) fail(n node, reason string) {
	if r.err == nil {
		r.err = &ValidationError{n.path(), reason}
	}
}

// array returns the elements of a list.

func (r *reader) array(n node, required bool) []node {
	if n.v == nil {
		if required {
			r.fail(n, "expected a list")
		}
		return nil
	}
	list, err := n.v.Array()
	if err != nil {
		r.fail(n, "expected a list, got "+n.v.Type().String())
	}
	nodes := make([]node, len(list))
	for i, v := range list {
		nodes[i] = node{v: v, parent: &n, index: i}
	}
	return nodes
}

// text reads a string.
func (r *reader) text(n node, defaultValue string) string {
	if n.v == nil {
		return defaultValue
	}
	b, err := n.v.StringBytes()
	if err != nil {
		r.fail(n, "expected a string, got "+n.v.Type().String())
	}
	return string(b)
}

// boolean reads a boolean, which is false if absent.
func (r *reader) boolean(n node) bool {
	if n.v == nil {
		return false
	}
	b, err := n.v.Bool()
	if err != nil {
		r.fail(n, "expected true or false, got "+n.v.Type().String())
	}
	return b
}

// number reads a finite number.
func (r *reader) number(n node, defaultValue float64) float64 {
	if n.v == nil {
		return defaultValue
	}
	f, err := n.v.Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		r.fail(n, "expected a number, got "+truncate(n.v.String()))
		return 0
	}
	return f
}

// count reads a non-negative integer; 200.0 and 2e2 count as integers.
func (r *reader) count(n node, defaultValue int) int {
	f := r.number(n, float64(defaultValue))
	if f < 0 || f != math.Trunc(f) || f > maxExactInteger {
		r.fail(n, "expected a whole number of 0 or more, got "+truncate(n.v.String()))
		return 0
	}
	return int(f)
}

// version reads a positive integer. All 64 bits are kept if it is written without
// a decimal point.
func (r *reader) version(n node) uint64 {
	if n.v != nil {
		if v, err := n.v.Uint64(); err == nil && v > 0 {
			return v
		}
		f, err := n.v.Float64()
		if err == nil && f >= 1 && f == math.Trunc(f) && f <= maxExactInteger {
			return uint64(f)
		}
	}
	r.fail(n, "expected a whole number of 1 or more")
	return 0
}

// duration reads a number of milliseconds, which may have a fraction. defaultValue
// is in milliseconds.
func (r *reader) duration(n node, defaultValue float64) time.Duration {
	ms := r.number(n, defaultValue)
	if ms < 0 {
		r.fail(n, "expected a number of milliseconds, not below 0")
		return 0
	}
	if ms >= float64(maxDuration/time.Millisecond) {
		return maxDuration
	}
	return time.Duration(math.Ceil(ms * float64(time.Millisecond)))
}

// truncate shortens s to 160 bytes and replaces invalid UTF-8, so that an error
// message stays readable whatever the document contains.
func truncate(s string) string {
	const maxLength = 160
	if len(s) > maxLength {
		s = s[:maxLength] + fmt.Sprintf("... (%d bytes)", len(s))
	}
	return strings.ToValidUTF8(s, "?")
}
