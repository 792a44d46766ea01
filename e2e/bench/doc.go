// Package bench measures real node processes on loopback against stand-ins that
// run in this process: throughput against its bound, recovery, the delay that a
// node adds, orders, and what control costs by the size of the environment.
// Each measure has its own baseline in the same run.
//
// The stand-ins' pace, not the machine, is meant to be the limit. The tables
// give the processor time used beside the figures, so that a reader can tell.
package bench
