package manifest

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
)

// NameChanges lists the names that were added, removed or changed in their
// contents. Each list is sorted.
type NameChanges struct{ Added, Removed, Changed []string }

// Changes summarizes the differences between two configurations.
type Changes struct {
	From, To         uint64 // versions
	Routes, Services NameChanges
	Limits           bool
}

// Diff compares two configurations for display. The order of the routes has no
// meaning, so a route that only moved is not reported.
func Diff(a, b *Manifest) Changes {
	return Changes{
		From:     a.Version,
		To:       b.Version,
		Routes:   diff(a.byKey(), b.byKey(), routeKey.String),
		Services: diff(a.Services, b.Services, func(name string) string { return name }),
		Limits:   a.Limits != b.Limits,
	}
}

// routeKey identifies a route within a configuration. Host and prefix, which are unique, are set for a route without a name or
// with the name of an earlier route.
type routeKey struct{ name, host, prefix string }

// String returns the route's name, and its place if the name alone does not identify it.
func (k routeKey) String() string { return strings.TrimSpace(k.name + " " + k.host + k.prefix) }

// byKey returns the routes by key.
func (m *Manifest) byKey() map[routeKey]*Route {
	routes := make(map[routeKey]*Route, len(m.Routes))
	for _, r := range m.Routes {
		key := routeKey{name: r.Name}
		if r.Name == "" || routes[key] != nil {
			key.host, key.prefix = r.Host, r.Prefix
		}
		unindexed := *r
		unindexed.Index = 0
		routes[key] = &unindexed
	}
	return routes
}

// diff compares the values of two maps by key; name returns what a key is displayed as.
func diff[K comparable, T any](a, b map[K]*T, name func(K) string) (n NameChanges) {
	for key, before := range a {
		if after := b[key]; after == nil {
			n.Removed = append(n.Removed, name(key))
		} else if !reflect.DeepEqual(before, after) {
			n.Changed = append(n.Changed, name(key))
		}
	}
	for key := range b {
		if a[key] == nil {
			n.Added = append(n.Added, name(key))
		}
	}
	slices.Sort(n.Added)
	slices.Sort(n.Removed)
	slices.Sort(n.Changed)
	return n
}

// String formats the changes on one line. Long lists are cut to their first
// names and the number of the others.
func (c Changes) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "version %d to %d", c.From, c.To)
	headerLength := b.Len()
	c.Routes.write(&b, "routes")
	c.Services.write(&b, "services")
	if c.Limits {
		b.WriteString("; limits changed")
	}
	if b.Len() == headerLength {
		b.WriteString("; no change")
	}
	return b.String()
}

// write appends the non-empty lists to b; kind states what the names denote.
func (n NameChanges) write(b *strings.Builder, kind string) {
	for _, list := range []struct {
		verb  string
		names []string
	}{{"added", n.Added}, {"removed", n.Removed}, {"changed", n.Changed}} {
		const maxNames = 8
		switch more := len(list.names) - maxNames; {
		case len(list.names) == 0:
		case more > 0:
			fmt.Fprintf(b, "; %s %s: %s and %d more", kind, list.verb, strings.Join(list.names[:maxNames], " "), more)
		default:
			fmt.Fprintf(b, "; %s %s: %s", kind, list.verb, strings.Join(list.names, " "))
		}
	}
}
