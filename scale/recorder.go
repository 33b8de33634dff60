package scale

import (
	"sync"
	"time"
)

// timestampUnit is the resolution of recorded times. They are stored in 32 bits as units since the recorder's start, which
// lasts for almost 6 hours.
const timestampUnit = 10 * time.Microsecond

// recorder records when each change came into force at each gateway of a process.
type recorder struct {
	start    time.Time
	gateways int

	mu   sync.Mutex
	rows map[uint64][]int32 // by the change's key: the time at each gateway; 0: not yet in force
}

func newRecorder(gateways int) *recorder {
	return &recorder{start: time.Now(), gateways: gateways, rows: map[uint64][]int32{}}
}

// record records that a change came into force at a gateway. Only the first time counts.
func (r *recorder) record(key uint64, gateway int, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row := r.rows[key]
	if row == nil {
		row = make([]int32, r.gateways)
		r.rows[key] = row
	}
	if row[gateway] == 0 {
		row[gateway] = int32(max(1, at.Sub(r.start)/timestampUnit))
	}
}

// inForceTimes returns the time at which a change came into force at each gateway; the zero time means never.
func (r *recorder) inForceTimes(key uint64) []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]time.Time, r.gateways)
	for i, units := range r.rows[key] {
		if units != 0 {
			out[i] = r.start.Add(time.Duration(units) * timestampUnit)
		}
	}
	return out
}

// gatewayObserver records the notifications of one gateway.
type gatewayObserver struct {
	recorder *recorder
	gateway  int
}

// PurgeApplied records when the purge of an object, or of a group of objects, came into force at the gateway.
func (o gatewayObserver) PurgeApplied(object uint64, group uint16, at time.Time) {
	o.recorder.record(PurgeKey(object, group), o.gateway, at)
}

// ConfigApplied records when a value of the configuration came into force at the gateway.
func (o gatewayObserver) ConfigApplied(name string, value []byte, at time.Time) {
	o.recorder.record(ConfigKey(name, value), o.gateway, at)
}
