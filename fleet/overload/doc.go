// Package overload decides for one instance what its fleet's load allows it: how much of budgets that hold for all
// together it may spend (Budget), what befalls the fleet (Judge), and how much of each kind of scan is to be shed
// everywhere alike (Divide). It decides only: no I/O, no clock, no goroutine; words and times are handed in, what is to be
// told comes out, and the same events give the same verdicts. Which scan is refused stays the module's: what comes out
// here is data for it.
package overload
