package simproto

import (
	"math"
	"time"

	"turnfork.dev/turnfork/control"
)

// Start is the event that starts an instance.
type Start struct {
	Seed     uint64
	Settings []byte // the settings as JSON, valid until the frame's buffer is reused
}

// Record is one event for one instance. At most one of Start, Stop and Event is set: none for records that the decision
// module does not use.
type Record struct {
	Instance uint32
	Start    *Start
	Stop     bool
	Event    control.Event
}

// LoadFields lists the names of the load report values of an instance, in the order in which they are sent.
type LoadFields []string

// Decode reads the records of a frame's content and calls fn for each with the frame's clock. Load report values are assigned
// to fields in the order that fieldOrder returns for the record's instance.
func Decode(frame []byte, fieldOrder func(uint32) LoadFields, fn func(now time.Duration, r Record) error) error {
	d := &decoder{reader: reader{frame: frame}, fieldOrder: fieldOrder}
	count := int(d.u32())
	now := d.seconds()
	if count < 0 || count > (len(frame)-headerBytes)/minRecordBytes {
		d.fail("invalid number of records %d", count)
	}
	for i := 0; i < count && d.problem == ""; i++ {
		d.recordNumber = i
		record := d.record()
		if d.problem != "" {
			break
		}
		if err := fn(now, record); err != nil {
			return err
		}
	}
	return d.end()
}

// decoder reads the records of one frame.
type decoder struct {
	reader
	recordNumber int
	fieldOrder   func(instance uint32) LoadFields
}

// end checks that no bytes are left, and returns the first problem with its position.
func (d *decoder) end() error {
	if left := len(d.frame) - d.offset; left != 0 {
		d.fail("%d bytes after the last record", left)
	}
	if d.problem == "" {
		return nil
	}
	return &Error{Record: d.recordNumber, Offset: d.offset + lengthBytes, Problem: d.problem}
}

func (d *decoder) record() Record {
	code := d.u16()
	r := Record{Instance: d.u32()}
	switch code {
	case codeStart:
		r.Start = d.start()
	case codeStop:
		r.Stop = true
	case codePeerMessage:
		d.skipPeerMessage()
	default:
		r.Event = d.event(code, r.Instance)
	}
	return r
}

func (d *decoder) start() *Start {
	seed := d.u64()
	size := int(d.u32())
	return &Start{Seed: seed, Settings: d.take(size)}
}

// skipPeerMessage skips a message of another instance, which the decision module does not use.
func (d *decoder) skipPeerMessage() {
	d.u16()
	size := int(d.u16())
	d.take(size)
}

func (d *decoder) event(code uint16, instance uint32) control.Event {
	switch code {
	case codeEndpointList:
		return d.endpointList()
	case codeRequest:
		return d.request()
	case codeTimerFired:
		return control.TimerFired{Token: d.u64()}
	case codeAttemptResult:
		return d.attemptResult(instance)
	case codeClientGone:
		return control.ClientGone{ID: control.RequestID(d.u64())}
	case codeHealthCheckResult:
		return d.healthCheckResult(instance)
	case codeResponseStarted:
		return d.responseStarted()
	case codePurged:
		return d.purged()
	default:
		d.fail("unknown event code %d", code)
		return nil
	}
}

func (d *decoder) request() control.Request {
	var q control.Request
	q.ID = control.RequestID(d.u64())
	q.Class = int(d.u8())
	d.u16() // tenant, not used
	q.Object = control.ObjectID(d.u64())
	q.Remaining = d.seconds()
	q.SizeKB = d.f32()
	q.ObjectGroup = uint16(clampCount(d.f32(), math.MaxUint16))
	q.Part = uint32(clampCount(d.f32(), math.MaxUint32))
	flags := d.u16()
	q.Retry = flags&requestIsRetry != 0
	q.Write = flags&requestIsWrite != 0
	return q
}

func (d *decoder) attemptResult(instance uint32) control.AttemptResult {
	var a control.AttemptResult
	a.ID = control.RequestID(d.u64())
	a.Latency = d.seconds()
	a.Outcome = d.knownOutcome()
	a.Note = control.Note(d.u8())
	a.Endpoint = control.EndpointID(d.u32())
	a.FirstByte = d.seconds()
	a.Attempt = int(d.u8())
	a.RequestClosed = d.u8() != 0
	a.Load = d.loadReport(instance)
	return a
}

func (d *decoder) healthCheckResult(instance uint32) control.HealthCheckResult {
	var h control.HealthCheckResult
	h.Endpoint = control.EndpointID(d.u32())
	h.Latency = d.seconds()
	h.Outcome = d.knownOutcome()
	h.Load = d.loadReport(instance)
	return h
}

func (d *decoder) responseStarted() control.ResponseStarted {
	var s control.ResponseStarted
	s.ID = control.RequestID(d.u64())
	d.seconds() // latency, not used
	s.Attempt = int(d.u8())
	d.u32() // endpoint, not used
	return s
}

func (d *decoder) purged() control.Purged {
	var p control.Purged
	p.Object = control.ObjectID(d.u64())
	p.Group = d.u16()
	p.Ago = d.seconds()
	return p
}

func (d *decoder) endpointList() control.Event {
	mode := d.u8()
	d.u64() // version, not used: changes arrive in order and without gaps
	count := int(d.u32())
	if mode > listDelta {
		d.fail("unknown list mode %d", mode)
	}
	if count < 0 || count > (len(d.frame)-d.offset)/endpointBytes {
		d.fail("invalid number of entries %d", count)
		return nil
	}
	list := control.EndpointList{
		Snapshot:  mode == listSnapshot || mode == listCachedSnapshot,
		Failed:    mode == listFailed,
		Endpoints: make([]control.Endpoint, 0, count),
	}
	for range count {
		list.Endpoints = append(list.Endpoints, d.endpoint())
	}
	return list
}

func (d *decoder) endpoint() control.Endpoint {
	var e control.Endpoint
	e.Cell = int(d.u16())
	e.StartedAt = d.seconds()
	e.ID = control.EndpointID(d.u32())
	e.Kind = int(d.u8())
	e.Zone = int(d.u8())
	e.Weight = d.f32()
	state := d.u8()
	if state > byte(control.Draining) {
		d.fail("unknown state %d", state)
	}
	e.State = control.State(state)
	return e
}

func (d *decoder) knownOutcome() control.Outcome {
	code := d.u8()
	outcome, ok := outcomes[code]
	if !ok {
		d.fail("unknown outcome %d", code)
	}
	return outcome
}

// loadReport reads the values of a load report in the order that the instance's settings define. It returns nil if there are
// none; values that are not reported are -1.
func (d *decoder) loadReport(instance uint32) *control.LoadReport {
	order := d.fieldOrder(instance)
	count := int(d.u8())
	if count == 0 {
		return nil
	}
	report := &control.LoadReport{InFlight: -1, Utilization: -1, HitRate: -1, LinkUtilization: -1}
	for i := range count {
		value := d.f32()
		if i >= len(order) || math.IsNaN(value) || math.IsInf(value, 0) {
			continue
		}
		switch order[i] {
		case reportInFlight:
			report.InFlight = value
		case reportUtilization:
			report.Utilization = value
		case reportHitRate:
			report.HitRate = value
		case reportLinkUtilization:
			report.LinkUtilization = value
		}
	}
	return report
}

// clampCount limits a number to the range from 0 to highest; NaN becomes 0.
func clampCount(v float64, highest float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, highest)
}
