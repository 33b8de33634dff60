package simproto

import (
	"encoding/binary"
	"fmt"
	"math"
	"time"
)

// reader reads big-endian numbers. It keeps the first problem, after which all numbers read are zero.
type reader struct {
	frame   []byte
	offset  int
	problem string // "": none
}

// fail records a problem, unless there is one already.
func (r *reader) fail(format string, args ...any) {
	if r.problem == "" {
		r.problem = fmt.Sprintf(format, args...)
	}
}

// take returns the next n bytes of the frame; nil if fewer are left, or after a problem.
func (r *reader) take(n int) []byte {
	if n < 0 || n > len(r.frame)-r.offset {
		r.fail("truncated")
	}
	if r.problem != "" {
		return nil
	}
	start := r.offset
	r.offset += n
	return r.frame[start:r.offset]
}

func (r *reader) u8() byte {
	if b := r.take(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *reader) u16() uint16 {
	if b := r.take(2); b != nil {
		return binary.BigEndian.Uint16(b)
	}
	return 0
}

func (r *reader) u32() uint32 {
	if b := r.take(4); b != nil {
		return binary.BigEndian.Uint32(b)
	}
	return 0
}

func (r *reader) u64() uint64 {
	if b := r.take(8); b != nil {
		return binary.BigEndian.Uint64(b)
	}
	return 0
}

func (r *reader) f32() float64 { return float64(math.Float32frombits(r.u32())) }

// seconds reads a time in seconds as a duration, rounded to the nanosecond.
func (r *reader) seconds() time.Duration {
	s := math.Float64frombits(r.u64())
	if math.IsNaN(s) || math.Abs(s) > maxSeconds {
		r.fail("invalid time")
		return 0
	}
	return time.Duration(math.Round(s * 1e9))
}
