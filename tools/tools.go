// Package tools pins the linter that the test command runs.
package tools
