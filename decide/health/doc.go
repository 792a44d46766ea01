// Package health tells which endpoints to leave out for a while.
package health
