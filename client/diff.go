package client

import (
	"fmt"
	"reflect"
	"slices"

	"peathollow/manifest"
)

// NameChanges lists the names that were added, removed, or kept with a changed definition.
type NameChanges struct {
	Added   []string `json:"added"`
	Removed []string `json:"removed"`
	Changed []Change `json:"changed"`
}

// Change lists the changed fields of a route or service. Fields is empty if the definitions can't be looked up by name.
type Change struct {
	Name   string        `json:"name"`
	Fields []FieldChange `json:"fields"`
}

// FieldChange is the value of one field before and after the change.
type FieldChange struct {
	Name   string `json:"name"`
	Before string `json:"was"`
	After  string `json:"is"`
}

// Diff is the difference between two configurations.
type Diff struct {
	From     uint64        `json:"from"` // versions
	To       uint64        `json:"to"`
	Routes   NameChanges   `json:"routes"`
	Services NameChanges   `json:"services"`
	Limits   []FieldChange `json:"limits"`
}

// Empty reports whether nothing but the version differs.
func (d *Diff) Empty() bool {
	n := len(d.Limits)
	for _, x := range []NameChanges{d.Routes, d.Services} {
		n += len(x.Added) + len(x.Removed) + len(x.Changed)
	}
	return n == 0
}

// Compare returns the changes from one configuration to another. A nil from stands for an empty configuration.
func Compare(from, to *manifest.Manifest) Diff {
	if from == nil {
		from = &manifest.Manifest{}
	}
	c := manifest.Diff(from, to)
	return Diff{From: c.From, To: c.To, Limits: changedFields(from.Limits, to.Limits),
		Routes:   nameChanges(c.Routes, routesByName(from), routesByName(to)),
		Services: nameChanges(c.Services, from.Services, to.Services)}
}

func routesByName(m *manifest.Manifest) map[string]*manifest.Route {
	all := map[string]*manifest.Route{}
	for _, r := range m.Routes {
		all[r.Name] = r
	}
	return all
}

func nameChanges[T any](n manifest.NameChanges, from, to map[string]*T) NameChanges {
	changes := NameChanges{Added: slices.Concat([]string{}, n.Added), Removed: slices.Concat([]string{}, n.Removed),
		Changed: []Change{}}
	for _, name := range n.Changed {
		change := Change{Name: name}
		if before, after := from[name], to[name]; before != nil && after != nil {
			change.Fields = changedFields(*before, *after)
		}
		changes.Changed = append(changes.Changed, change)
	}
	return changes
}

// changedFields compares two structs of the same type. It ignores the position of a route in the list (Index), which has no
// meaning.
func changedFields(from, to any) (changes []FieldChange) {
	before, after := reflect.ValueOf(from), reflect.ValueOf(to)
	for i := range before.NumField() {
		name := before.Type().Field(i).Name
		if x, y := fmt.Sprint(before.Field(i)), fmt.Sprint(after.Field(i)); x != y && name != "Index" {
			changes = append(changes, FieldChange{name, x, y})
		}
	}
	return changes
}
