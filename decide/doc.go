// Package decide is the root of the decision modules. They decide which requests
// the router accepts, queues or refuses, and where it sends them.
//
// Every package below this one is a pure state machine: it takes typed messages
// and the current time, and returns values for the caller to act on. None of them
// opens a connection, starts a goroutine or reads a clock, so each can be read and
// tested in isolation. `make test` checks the imports.
package decide
