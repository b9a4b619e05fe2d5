package client

import (
	"fmt"
	"reflect"
	"slices"

	"peathollow/manifest"
)

// Names are the names that came, went, and stayed with another meaning.
type Names struct {
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
	Changed []Change `json:"changed"`
}

// Change says which fields of a route or service changed; none if it has no name of its own.
type Change struct {
	Name   string  `json:"name"`
	Fields []Field `json:"fields"`
}

// Field is one value, before and after.
type Field struct {
	Name string `json:"name"`
	Was  string `json:"was"`
	Is   string `json:"is"`
}

// Diff is what sets one configuration apart from another.
type Diff struct {
	From     uint64  `json:"from"` // versions
	To       uint64  `json:"to"`
	Routes   Names   `json:"routes"`
	Services Names   `json:"services"`
	Limits   []Field `json:"limits"`
}

// Same tells that nothing but the version differs.
func (d *Diff) Same() bool {
	n := len(d.Limits)
	for _, x := range []Names{d.Routes, d.Services} {
		n += len(x.Added) + len(x.Removed) + len(x.Changed)
	}
	return n == 0
}

// Compare compares two configurations; a nil one has nothing.
func Compare(a, b *manifest.Manifest) Diff {
	if a == nil {
		a = &manifest.Manifest{}
	}
	c := manifest.Diff(a, b)
	return Diff{From: c.From, To: c.To, Limits: fields(a.Limits, b.Limits),
		Routes:   names(c.Routes, routes(a), routes(b)),
		Services: names(c.Services, a.Services, b.Services)}
}

func routes(m *manifest.Manifest) map[string]*manifest.Route {
	all := map[string]*manifest.Route{}
	for _, r := range m.Routes {
		all[r.Name] = r
	}
	return all
}

func names[T any](n manifest.NameChanges, a, b map[string]*T) Names {
	out := Names{Added: slices.Concat([]string{}, n.Added), Removed: slices.Concat([]string{}, n.Removed), Changed: []Change{}}
	for _, name := range n.Changed {
		x := Change{Name: name}
		if was, is := a[name], b[name]; was != nil && is != nil {
			x.Fields = fields(*was, *is)
		}
		out.Changed = append(out.Changed, x)
	}
	return out
}

// fields compares two structs. A route's place among the others has no meaning.
func fields(a, b any) (out []Field) {
	was, is := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range was.NumField() {
		name := was.Type().Field(i).Name
		if x, y := fmt.Sprint(was.Field(i)), fmt.Sprint(is.Field(i)); x != y && name != "Index" {
			out = append(out, Field{name, x, y})
		}
	}
	return out
}
