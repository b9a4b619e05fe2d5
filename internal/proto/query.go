// Package proto holds the messages of the platform's protocol as small typed values. Each is decoded once and
// encoded once; nothing is decided here.
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

// Part is one part of a query as its client names it.
type Part struct {
	Shard  int
	Weight float64
	Hint   time.Duration
}

// Query is a client's request.
type Query struct {
	ID, Class, Tenant, Key string
	Wait                   time.Duration // how long the client waits for the answer
	Retry                  bool
	Parts                  []Part
	Text                   string // what every part carries
}

// Row is the value of one part in an answer.
type Row struct {
	Shard int    `json:"id"`
	Value string `json:"data"`
}

type answer struct {
	Exact bool  `json:"exact"`
	Rows  []Row `json:"rows"`
}

// sumSpare is what weights may miss one by: a hundred parts, each rounded to the fourth digit.
const sumSpare = 0.005

// ReadQuery decodes a request's head and body.
func ReadQuery(r *http.Request, body []byte) (Query, error) {
	class, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	q := Query{ID: r.Header.Get("Req-Id"), Class: class, Tenant: r.Header.Get("Req-Owner"),
		Key: r.Header.Get("Idempotency-Key"), Retry: r.Header.Get("Req-Retry") == "1"}
	if err := word("Req-Id", q.ID); err != nil {
		return q, err
	}
	for _, name := range []string{"Req-Id", "Req-Owner", "Req-Deadline", "Idempotency-Key"} {
		if len(r.Header.Values(name)) > 1 {
			return q, fmt.Errorf("%s: comes twice", name)
		}
	}
	if q.Key != "" {
		if err := word("Idempotency-Key", q.Key); err != nil {
			return q, err
		}
	}
	var err error
	if q.Wait, err = deadline(r.Header.Get("Req-Deadline")); err != nil {
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
	sum, told := 0.0, 0
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
			told++
		}
		sum += q.Parts[i].Weight
	}
	// Shares of one whole: what is in is judged by them, so an answer could not be honest with any others.
	if told > 0 && told < len(q.Parts) || math.Abs(sum-1) > sumSpare {
		return q, fmt.Errorf("body: weights of %d of %d parts add up to %v, not to 1", told, len(q.Parts), sum)
	}
	return q, nil
}

// word guards the searchers' frames, whose fields end at spaces and commas, against what a header may hold.
func word(name, s string) error {
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

func deadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	n, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		n, ok = strings.CutSuffix(s, "u")
	}
	x, err := strconv.ParseFloat(n, 64)
	// ParseFloat alone takes more than a number followed by a unit: names, hexadecimal figures, underscores.
	if !ok || err != nil || strings.Trim(n, "-.0123456789") != "" || !(x >= -1e9 && x <= 1e12) {
		return 0, fmt.Errorf("Req-Deadline: unreadable: %.40q", s)
	}
	return time.Duration(x * float64(unit)), nil
}

// WriteAnswer encodes the answer to a query.
func WriteAnswer(whole bool, rows []Row) []byte {
	if rows == nil {
		rows = []Row{}
	}
	b, err := json.Marshal(answer{Exact: whole, Rows: rows})
	if err != nil {
		panic(err) // strings, numbers and a flag always encode
	}
	return b
}
