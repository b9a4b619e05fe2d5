// Package proto decodes and encodes the messages of the platform's protocol as small typed values. Each message is decoded
// once and encoded once; the package makes no decisions.
package proto

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Part is one part of a query, as its client states it.
type Part struct {
	Shard  int
	Weight float64
	Hint   time.Duration // the client's estimate of the work
}

// Query is a client's request.
type Query struct {
	ID, Class, Tenant, Key string
	Wait                   time.Duration // how long the client waits for the answer
	Retry                  bool
	Parts                  []Part
	Text                   string // sent with every part
}

// Row is the value of one part in an answer.
type Row struct {
	Shard int    `json:"id"`
	Value string `json:"data"`
}

// answer is the JSON form of the answer to a query.
type answer struct {
	Exact bool  `json:"exact"`
	Rows  []Row `json:"rows"`
}

// weightTolerance is how far the sum of weights may differ from 1: it covers a hundred parts, each rounded to four digits.
const weightTolerance = 0.005

// ReadQuery decodes the headers and the body of a client's request.
func ReadQuery(r *http.Request, body []byte) (Query, error) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	q := Query{ID: r.Header.Get("Req-Id"), Class: class, Tenant: r.Header.Get("Req-Owner"),
		Key: r.Header.Get("Idempotency-Key"), Retry: r.Header.Get("Req-Retry") == "1"}
	if err := validateToken("Req-Id", q.ID); err != nil {
		return q, err
	}
	for _, name := range []string{"Req-Id", "Req-Owner", "Req-Deadline", "Idempotency-Key"} {
		if len(r.Header.Values(name)) > 1 {
			return q, fmt.Errorf("%s: comes twice", name)
		}
	}
	if q.Key != "" {
		if err := validateToken("Idempotency-Key", q.Key); err != nil {
			return q, err
		}
	}
	var err error
	if q.Wait, err = parseDeadline(r.Header.Get("Req-Deadline")); err != nil {
		return q, err
	}
	var raw struct {
		Parts []struct {
			ID   *int     `json:"id"`
			W    *float64 `json:"w"`
			Hint float64  `json:"hint"`
		} `json:"parts"`
		Expr *string `json:"expr"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return q, fmt.Errorf("body: %w", err)
	}
	if raw.Expr == nil {
		return q, errors.New("body: no expr")
	}
	q.Text = *raw.Expr
	if len(raw.Parts) == 0 {
		return q, errors.New("body: no parts")
	}
	q.Parts = make([]Part, len(raw.Parts))
	sum, weighted := 0.0, 0
	for i, p := range raw.Parts {
		if p.ID == nil || *p.ID < 0 {
			return q, fmt.Errorf("body: part %d has no id", i)
		}
		q.Parts[i] = Part{Shard: *p.ID, Weight: 1 / float64(len(raw.Parts)),
			Hint: time.Duration(max(0, min(p.Hint, 1e12))) * time.Microsecond}
		if p.W != nil {
			if !(*p.W >= 0 && *p.W <= 1) {
				return q, fmt.Errorf("body: part %d has weight %v", i, *p.W)
			}
			q.Parts[i].Weight = *p.W
			weighted++
		}
		sum += q.Parts[i].Weight
	}
	// The weights are shares of the whole result and determine its reported coverage. Any other sum would make that coverage
	// wrong.
	if weighted > 0 && weighted < len(q.Parts) || math.Abs(sum-1) > weightTolerance {
		return q, fmt.Errorf("body: weights of %d of %d parts add up to %v, not to 1", weighted, len(q.Parts), sum)
	}
	return q, nil
}

// validateToken checks that a header value can be a field in the searchers' frames, where spaces and commas end fields.
func validateToken(name, s string) error {
	if s == "" || len(s) > 128 {
		return fmt.Errorf("%s: missing or too long", name)
	}
	for _, b := range []byte(s) {
		if b <= ' ' || b > '~' || b == ',' {
			return fmt.Errorf("%s: unreadable", name)
		}
	}
	return nil
}

// parseDeadline parses a number with the unit m for milliseconds or u for microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	n, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		n, ok = strings.CutSuffix(s, "u")
	}
	x, err := strconv.ParseFloat(n, 64)
	// ParseFloat alone also accepts names such as Inf, hexadecimal numbers and underscores.
	if !ok || err != nil || strings.Trim(n, "-.0123456789") != "" || !(x >= -1e9 && x <= 1e12) {
		return 0, fmt.Errorf("Req-Deadline: unreadable: %.40q", s)
	}
	return time.Duration(x * float64(unit)), nil
}

// WriteAnswer encodes the answer to a query. exact states whether the result is complete.
func WriteAnswer(exact bool, rows []Row) []byte {
	if rows == nil {
		rows = []Row{}
	}
	b, err := json.Marshal(answer{Exact: exact, Rows: rows})
	if err != nil {
		panic(err) // strings, numbers and booleans can always be encoded
	}
	return b
}
