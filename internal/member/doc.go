// Package member keeps up which other instances seem alive and carries their messages, by gossip
// (hashicorp/memberlist) that is sealed with keys from a file. The mixer's duties use it through Group.Send and the
// Events they hand in. It decides nothing: who looks after what is package duty's, and a view may be wrong.
// Nothing of it runs unless the settings file turns duties on.
package member
