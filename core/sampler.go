package core

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// maxSampledPerSecond limits the requests that are traced at level info: one trace takes about 850 bytes in the log.
const maxSampledPerSecond = 10

// sampler selects the requests that are traced at level info, by a hash of their ID, so that all gateways with the same
// share select the same ones.
type sampler struct {
	threshold     uint64  // a request is selected if its hash is below it
	currentSecond float64 // of the monotonic clock
	sampled       int     // requests selected in currentSecond
}

// newSampler returns a sampler that selects a share of the requests, 0 to 1.
func newSampler(share float64) sampler {
	if share >= 1 {
		return sampler{threshold: math.MaxUint64}
	}
	return sampler{threshold: uint64(max(0, share) * (1 << 63) * 2)}
}

// sample reports whether a request that has just been received is to be traced. now returns the time in ms; it is called
// only for requests whose hash is below the threshold.
func (s *sampler) sample(requestID string, now func() float64) bool {
	if s.threshold == 0 || xxhash.Sum64String(requestID) >= s.threshold {
		return false
	}
	if second := math.Floor(now() / 1000); second != s.currentSecond {
		s.currentSecond = second
		s.sampled = 0
	}
	s.sampled++
	return s.sampled <= maxSampledPerSecond
}
