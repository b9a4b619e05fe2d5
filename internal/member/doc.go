// Package member tracks which other instances appear to be alive and carries messages between instances. It uses gossip
// (hashicorp/memberlist), encrypted with keys from a file. The mixer's duties use it through Group.Send and the Events that
// they pass in. It makes no decisions: package duty determines which instance is responsible for what, and a view may be
// wrong. Nothing in it runs unless the settings file enables duties.
package member
