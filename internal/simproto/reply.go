package simproto

import (
	"encoding/binary"
	"math"
	"time"

	"turnfork.dev/turnfork/control"
)

const replyHeaderBytes = 8 // the length and the number of records

// Reply encodes the actions of a batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset begins a new reply.
func (r *Reply) Reset() {
	r.buf = append(r.buf[:0], make([]byte, replyHeaderBytes)...)
	r.count = 0
}

// Bytes completes the reply and returns its frame, valid until Reset.
func (r *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(r.buf, uint32(len(r.buf)-lengthBytes))
	binary.BigEndian.PutUint32(r.buf[lengthBytes:], r.count)
	return r.buf
}

// Add appends one action of an instance.
func (r *Reply) Add(instance uint32, a control.Action) {
	switch a := a.(type) {
	case control.Attempt:
		r.addAttempt(instance, a)
	case control.Reject:
		r.begin(actionReject, instance)
		r.u64(uint64(a.ID))
		r.seconds(a.RetryAfter)
	case control.Fail:
		r.begin(actionFail, instance)
		r.u64(uint64(a.ID))
	case control.Cancel:
		r.begin(actionCancel, instance)
		r.u64(uint64(a.ID))
		r.u8(byte(a.Attempt))
	case control.HealthCheck:
		r.begin(actionHealthCheck, instance)
		r.u32(uint32(a.To))
	case control.SetTimer:
		r.begin(actionSetTimer, instance)
		r.seconds(a.At)
		r.u64(a.Token)
	case control.RefreshEndpoints:
		r.begin(actionRefreshEndpoints, instance)
		r.u8(refreshOnce)
	}
}

func (r *Reply) addAttempt(instance uint32, a control.Attempt) {
	var flags byte
	if a.JoinFill {
		flags |= attemptJoinsFill
	}
	if a.CachedOnly {
		flags |= attemptCachedOnly
	}
	r.begin(actionAttempt, instance)
	r.u64(uint64(a.ID))
	r.u8(a.CacheRank)
	r.u8(flags)
	r.u32(uint32(a.To))
	r.u32(uint32(a.Source))
	r.seconds(a.Timeout)
	r.seconds(a.MaxAge)
}

// begin starts a record with its code and instance.
func (r *Reply) begin(code uint16, instance uint32) {
	r.count++
	r.buf = binary.BigEndian.AppendUint16(r.buf, code)
	r.u32(instance)
}

func (r *Reply) u8(v byte)               { r.buf = append(r.buf, v) }
func (r *Reply) u32(v uint32)            { r.buf = binary.BigEndian.AppendUint32(r.buf, v) }
func (r *Reply) u64(v uint64)            { r.buf = binary.BigEndian.AppendUint64(r.buf, v) }
func (r *Reply) seconds(d time.Duration) { r.u64(math.Float64bits(d.Seconds())) }
