// Package poison runs nodes as processes before engines that crash on one message of a
// conversation, and judges by what callers get and how many engines crash.
package poison
