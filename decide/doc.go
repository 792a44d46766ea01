// Package decide is the root of the decision modules: whom the router serves,
// who waits, who is refused and where work goes.
//
// Every package below it is a pure state machine. Inputs are typed messages and
// the current time; outputs are values for the caller to act on. None opens a
// connection, starts a goroutine or reads a clock, so each can be read and
// tested alone. `make test` checks the imports.
package decide
