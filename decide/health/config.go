package health

import (
	"cmp"
	"time"
)

// Defaults of Config; doc.go gives the reasons for the values.
const (
	DefaultInterval             = 500 * time.Millisecond
	DefaultMinSamples           = 5
	DefaultMaxConsecutive       = 3
	DefaultMaxErrorShare        = 0.5
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

// Config configures a Detector. Zero values take the defaults.
type Config struct {
	// Interval is the time between evaluations.
	Interval time.Duration
	// MinSamples is the number of outcomes after which the averages of an endpoint are
	// evaluated.
	MinSamples int
	// MaxConsecutive is the number of consecutive failures that ejects an endpoint at
	// once.
	MaxConsecutive int
	// MaxErrorShare is the error share (see the package doc) above which an endpoint is
	// ejected.
	MaxErrorShare float64
	// An endpoint is ejected as slow if its delay exceeds the median delay by both the
	// factor LatencyFactor and the difference LatencyFloor.
	LatencyFactor float64
	LatencyFloor  time.Duration
	// An endpoint with outstanding requests is ejected as silent if it sends nothing for
	// a certain time. The time is SilenceFactor times the median time to a first
	// response, plus SilenceFloor.
	SilenceFactor float64
	SilenceFloor  time.Duration
	// BaseEjection is the duration of a first ejection. The duration doubles with each
	// further ejection, up to MaxEjection.
	BaseEjection time.Duration
	MaxEjection  time.Duration
	// MaxEjectedShare is the largest share of the endpoints that may be out of rotation
	// after an endpoint is ejected for slowness or for its error share. For all other
	// causes the largest share is MaxUnresponsiveShare.
	MaxEjectedShare      float64
	MaxUnresponsiveShare float64
	// Probes is the number of consecutive successful probes after which an endpoint
	// returns to rotation.
	Probes int
	// Seed is the seed of the ejection jitter. Each node uses a different seed.
	Seed uint64
}

func withDefaults(c Config) Config {
	c.Interval = cmp.Or(c.Interval, DefaultInterval)
	c.MinSamples = cmp.Or(c.MinSamples, DefaultMinSamples)
	c.MaxConsecutive = cmp.Or(c.MaxConsecutive, DefaultMaxConsecutive)
	c.MaxErrorShare = cmp.Or(c.MaxErrorShare, DefaultMaxErrorShare)
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
