package health

import (
	"cmp"
	"time"
)

// Defaults of Config; doc.go gives their grounds.
const (
	DefaultInterval             = 500 * time.Millisecond
	DefaultMinSamples           = 5
	DefaultMaxConsecutive       = 3
	DefaultErrorShare           = 0.5
	DefaultLatencyFactor        = 3.0
	DefaultLatencyFloor         = 50 * time.Millisecond
	DefaultSilenceFactor        = 5.0
	DefaultSilenceFloor         = time.Second
	DefaultBaseEjection         = 5 * time.Second
	DefaultMaxEjection          = time.Minute
	DefaultMaxEjectedShare      = 0.5
	DefaultMaxUnresponsiveShare = 0.75
	DefaultProbes               = 2
)

// Config sets a Detector. Zero values take the defaults.
type Config struct {
	// Interval between judgements.
	Interval time.Duration
	// MinSamples is how many answers an endpoint needs to be judged by its
	// averages.
	MinSamples int
	// MaxConsecutive failures eject at once.
	MaxConsecutive int
	// ErrorShare of failures ejects.
	ErrorShare float64
	// LatencyFactor times the median delay, and at least LatencyFloor above it,
	// ejects.
	LatencyFactor float64
	LatencyFloor  time.Duration
	// SilenceFactor times the median time to a first sign, and at least
	// SilenceFloor above it, ejects if nothing is heard.
	SilenceFactor float64
	SilenceFloor  time.Duration
	// BaseEjection is the time of a first ejection; it doubles with each
	// further one up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// MaxEjectedShare is the largest part of the endpoints up to which slow and
	// erring ones are ejected, MaxLostShare up to which unanswering ones are.
	MaxEjectedShare      float64
	MaxUnresponsiveShare float64
	// Probes in a row must succeed before an endpoint returns.
	Probes int
	// Seed of the jitter; nodes take different ones.
	Seed uint64
}

func withDefaults(c Config) Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.MinSamples = cmp.Or(c.MinSamples, DefaultMinSamples)
	c.MaxConsecutive = cmp.Or(c.MaxConsecutive, DefaultMaxConsecutive)
	c.ErrorShare = cmp.Or(c.ErrorShare, DefaultErrorShare)
	c.LatencyFactor = cmp.Or(c.LatencyFactor, DefaultLatencyFactor)
	c.LatencyFloor = cmp.Or(c.LatencyFloor, DefaultLatencyFloor)
	c.SilenceFactor = cmp.Or(c.SilenceFactor, DefaultSilenceFactor)
	c.SilenceFloor = cmp.Or(c.SilenceFloor, DefaultSilenceFloor)
	c.BaseEjection = cmp.Or(c.BaseEjection, DefaultBaseEjection)
	c.MaxEjection = cmp.Or(c.MaxEjection, DefaultMaxEjection)
	c.MaxEjectedShare = cmp.Or(c.MaxEjectedShare, DefaultMaxEjectedShare)
	c.MaxUnresponsiveShare = cmp.Or(c.MaxUnresponsiveShare, DefaultMaxUnresponsiveShare)
	c.Probes = cmp.Or(c.Probes, DefaultProbes)
	return c
}
