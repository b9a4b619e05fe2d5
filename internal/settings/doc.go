// Package settings reads the settings file, which describes a process and the
// rules in force.
//
// The commands call Read once at the start, and again when the file may have
// changed; no other code reads it. Each setting is declared once, in the table
// of table.go, from which its check, its error messages and the output of
// `peathollow check --list` are derived.
//
// The package never watches or changes the file, keeps no state between two
// calls, and ignores unknown keys.
package settings
