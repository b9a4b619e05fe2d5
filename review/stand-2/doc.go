// Command stand-2 plays the cases of the second independent review: it starts the processes of a small deployment on
// loopback, with stand-ins for searchers, clients and operators, and judges what these saw on their sockets.
package main
