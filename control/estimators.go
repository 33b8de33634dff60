package control

// Estimators: quantities that are learned from responses, mostly exponentially weighted moving averages.

import (
	"math"
	"time"
)

const (
	meanGain         = 1.0 / 16         // weight of a new sample in learned means
	minVariance      = 1e-9             // variance of transfer times below which no slope is estimated
	shortestTransfer = time.Millisecond // minimum transfer time stored for an object
)

// meanEstimator estimates a mean and a mean deviation, in seconds, like the round-trip time estimator of RFC
// 6298.
type meanEstimator struct {
	mean      float64
	deviation float64
	samples   float64
}

// observe adds a sample, in seconds.
func (m *meanEstimator) observe(seconds float64) {
	if m.samples == 0 {
		m.mean = seconds
		m.deviation = seconds / 2
	}
	m.samples++
	m.deviation += meanGain * (math.Abs(seconds-m.mean) - m.deviation)
	m.mean += meanGain * (seconds - m.mean)
}

// upperBound returns the mean plus the given number of mean deviations.
func (m *meanEstimator) upperBound(deviations float64) time.Duration {
	return time.Duration((m.mean + deviations*m.deviation) * float64(time.Second))
}

// lineEstimator estimates the straight line through recent samples from their moments. For fills, its slope
// is the time that each second of transfer takes on a full link, regardless of how long fills wait for their
// sources.
type lineEstimator struct {
	samples                      float64
	meanX, meanY, meanXX, meanXY float64
}

// observe adds a sample.
func (l *lineEstimator) observe(x, y float64) {
	l.samples++
	gain := max(meanGain, 1/l.samples)
	l.meanX += gain * (x - l.meanX)
	l.meanY += gain * (y - l.meanY)
	l.meanXX += gain * (x*x - l.meanXX)
	l.meanXY += gain * (x*y - l.meanXY)
}

// slope returns the slope of the line. It is 1 while the samples do not determine it, and never less, as
// nothing is sent faster than at a client's pace.
func (l *lineEstimator) slope() float64 {
	variance := l.meanXX - l.meanX*l.meanX
	if !(variance > minVariance) { // also true for NaN
		return 1
	}
	return max(1, (l.meanXY-l.meanX*l.meanY)/variance)
}

// indicator returns 1 if the condition holds and 0 otherwise, as a sample for the mean of its frequency.
func indicator(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}

// answerTransferTime returns the transfer time of the response: computed from its size if that is known,
// else measured from its first byte. If the size was not known before, the expected transfer time of the
// request is corrected.
func (r *request) answerTransferTime(ev AttemptResult) time.Duration {
	if ev.TransferTime > 0 && r.SizeKB <= 0 {
		r.transferTime = ev.TransferTime
		return ev.TransferTime
	}
	return ev.Latency - ev.FirstByte
}

// observeTransferTime records the transfer time of a part for requests of unknown size. The shortest time
// seen is the best estimate.
func (o *object) observeTransferTime(transferTime time.Duration) {
	if o.transferTime == 0 || transferTime < o.transferTime {
		o.transferTime = max(transferTime, shortestTransfer)
	}
}
