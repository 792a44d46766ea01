// Package placement proves with real node processes that layers which a document
// leaves open are planned, ordered and kept so. It is a test only.
package placement
