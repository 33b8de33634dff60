package control_test

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/bits"
	"time"

	"turnfork.dev/turnfork/control"
)

// This file maps the types of package control to the format of the recorded traces in testdata/trace. The format
// identifies kinds by number and fields by their order, never by name: types and fields may be renamed and moved
// freely, but the numbers, and the order of the fields below, must not change.

// codec writes fields to a buffer or reads them from it. One description of a type's fields is used for both.
type codec struct {
	buffer  []byte
	reading bool
	err     error         // first read error; fields read after it are zero
	now     time.Duration // time of the event, to which times in actions are relative
}

var errTruncated = errors.New("the trace ends within a value")

type integer interface {
	~int | ~int64 | ~uint8 | ~uint16 | ~uint32 | ~uint64
}

// number encodes or decodes an integer of any type as a signed varint.
func number[T integer](c *codec, value *T) {
	if !c.reading {
		c.buffer = binary.AppendVarint(c.buffer, int64(*value))
		return
	}
	read, size := binary.Varint(c.buffer)
	if size <= 0 {
		c.err, c.buffer = errTruncated, nil
		return
	}
	*value, c.buffer = T(read), c.buffer[size:]
}

// relative encodes or decodes a clock time as its offset from now.
func (c *codec) relative(value *time.Duration) {
	distance := *value - c.now
	number(c, &distance)
	*value = distance + c.now
}

// float encodes or decodes the bits of a number, with the exponent last, so that round values are short.
func (c *codec) float(value *float64) {
	reversed := bits.Reverse64(math.Float64bits(*value))
	number(c, &reversed)
	*value = math.Float64frombits(bits.Reverse64(reversed))
}

func (c *codec) flag(value *bool) {
	bit := uint8(0)
	if *value {
		bit = 1
	}
	number(c, &bit)
	*value = bit == 1
}

// list encodes or decodes the length of a list, then its elements. A length that exceeds the buffer ends the
// reading.
func list[T any](c *codec, values *[]T, element func(*T)) {
	length := len(*values)
	number(c, &length)
	if c.reading {
		if length < 0 || length > len(c.buffer) {
			c.err, c.buffer, length = errTruncated, nil, 0
		}
		*values = nil
		if length > 0 {
			*values = make([]T, length)
		}
	}
	for i := range *values {
		element(&(*values)[i])
	}
}

// Kinds of event.
const (
	kindEndpointList = iota + 1
	kindRequest
	kindAttemptResult
	kindHealthCheckResult
	kindClientGone
	kindResponseStarted
	kindTimerFired
	kindPurge
	kindExclude
	kindProcessCount
)

// Kinds of query: methods that a host calls between events, whose result is recorded like an action.
const (
	kindQueryMaxCopyAge = iota + 100
	kindQueryListed
	kindQueryDeadlineReached
)

// Kinds of action, and of the results of queries.
const (
	kindAttempt = iota + 1
	kindReject
	kindFail
	kindCancel
	kindHealthCheck
	kindSetTimer
	kindRefreshEndpoints
	kindAnswer = 100
)

// kindNames are used in the messages of failed tests.
var kindNames = map[int]string{
	kindEndpointList: "endpoint list", kindRequest: "request", kindAttemptResult: "attempt result",
	kindHealthCheckResult: "health check result", kindClientGone: "client gone", kindResponseStarted: "response started",
	kindTimerFired: "timer fired", kindPurge: "purge", kindExclude: "exclude", kindProcessCount: "process count",
	kindQueryMaxCopyAge: "query: oldest copy", kindQueryListed: "query: listed", kindQueryDeadlineReached: "query: time up",
}

// query is a call of one of the controller's methods that return a value and change nothing.
type query struct {
	kind    int
	subject uint64 // a request or an endpoint
}

// answer is the result of a query.
type answer struct{ value int64 }

// event encodes or decodes the kind of an event or a query, then its fields. When reading, the argument is ignored.
func (c *codec) event(in any) (out any) {
	kind := eventKind(in)
	number(c, &kind)
	switch kind {
	case kindEndpointList:
		return as(c, in, c.endpointList)
	case kindRequest:
		return as(c, in, c.request)
	case kindAttemptResult:
		return as(c, in, c.attemptResult)
	case kindHealthCheckResult:
		return as(c, in, c.healthCheckResult)
	case kindClientGone:
		return as(c, in, func(e *control.ClientGone) { number(c, &e.ID) })
	case kindResponseStarted:
		return as(c, in, func(e *control.ResponseStarted) {
			number(c, &e.ID)
			number(c, &e.Attempt)
		})
	case kindTimerFired:
		return as(c, in, func(e *control.TimerFired) { number(c, &e.Token) })
	case kindPurge:
		return as(c, in, func(e *control.Purged) {
			number(c, &e.Object)
			number(c, &e.Group)
			number(c, &e.Ago)
		})
	case kindExclude:
		return as(c, in, func(e *control.Excluded) {
			number(c, &e.Endpoint)
			c.flag(&e.Excluded)
		})
	case kindProcessCount:
		return as(c, in, func(e *control.ProcessCount) { number(c, &e.Processes) })
	case kindQueryMaxCopyAge, kindQueryListed, kindQueryDeadlineReached:
		return as(c, in, func(q *query) {
			q.kind = kind
			number(c, &q.subject)
		})
	}
	c.fail(fmt.Errorf("no event has kind %d", kind))
	return nil
}

// eventKind returns the number of an event's or a query's type; 0: none.
func eventKind(event any) int {
	switch event := event.(type) {
	case control.EndpointList:
		return kindEndpointList
	case control.Request:
		return kindRequest
	case control.AttemptResult:
		return kindAttemptResult
	case control.HealthCheckResult:
		return kindHealthCheckResult
	case control.ClientGone:
		return kindClientGone
	case control.ResponseStarted:
		return kindResponseStarted
	case control.TimerFired:
		return kindTimerFired
	case control.Purged:
		return kindPurge
	case control.Excluded:
		return kindExclude
	case control.ProcessCount:
		return kindProcessCount
	case query:
		return event.kind
	}
	return 0
}

// action encodes or decodes the kind of an action or of the result of a query, then its fields.
func (c *codec) action(in any) (out any) {
	kind := actionKind(in)
	number(c, &kind)
	switch kind {
	case kindAttempt:
		return as(c, in, c.attempt)
	case kindReject:
		return as(c, in, func(a *control.Reject) {
			number(c, &a.ID)
			number(c, &a.RetryAfter)
		})
	case kindFail:
		return as(c, in, func(a *control.Fail) { number(c, &a.ID) })
	case kindCancel:
		return as(c, in, func(a *control.Cancel) {
			number(c, &a.ID)
			number(c, &a.Attempt)
		})
	case kindHealthCheck:
		return as(c, in, func(a *control.HealthCheck) { number(c, &a.To) })
	case kindSetTimer:
		return as(c, in, func(a *control.SetTimer) {
			c.relative(&a.At)
			number(c, &a.Token)
		})
	case kindRefreshEndpoints:
		return as(c, in, func(*control.RefreshEndpoints) {})
	case kindAnswer:
		return as(c, in, func(a *answer) { number(c, &a.value) })
	}
	c.fail(fmt.Errorf("no action has kind %d", kind))
	return nil
}

// actionKind returns the number of an action's type; 0: none.
func actionKind(action any) int {
	switch action.(type) {
	case control.Attempt:
		return kindAttempt
	case control.Reject:
		return kindReject
	case control.Fail:
		return kindFail
	case control.Cancel:
		return kindCancel
	case control.HealthCheck:
		return kindHealthCheck
	case control.SetTimer:
		return kindSetTimer
	case control.RefreshEndpoints:
		return kindRefreshEndpoints
	case answer:
		return kindAnswer
	}
	return 0
}

// fail records the first error and ends the reading.
func (c *codec) fail(err error) {
	if c.err == nil {
		c.err = err
	}
	c.buffer = nil
}

// as encodes or decodes the fields of a value of type T, which is new when the codec reads.
func as[T any](c *codec, in any, fields func(*T)) any {
	var value T
	if !c.reading {
		value = in.(T)
	}
	fields(&value)
	return value
}

func (c *codec) endpointList(e *control.EndpointList) {
	c.flag(&e.Snapshot)
	c.flag(&e.Failed)
	list(c, &e.Endpoints, func(m *control.Endpoint) {
		number(c, &m.ID)
		number(c, &m.Cell)
		number(c, &m.Zone)
		number(c, &m.Kind)
		c.float(&m.Weight)
		number(c, &m.State)
		number(c, &m.StartedAt)
	})
}

func (c *codec) request(e *control.Request) {
	number(c, &e.ID)
	number(c, &e.Class)
	number(c, &e.Object)
	number(c, &e.Part)
	number(c, &e.ObjectGroup)
	c.float(&e.SizeKB)
	c.flag(&e.ClientHasCopy)
	number(c, &e.Remaining)
	c.flag(&e.Retry)
	c.flag(&e.Write)
}

func (c *codec) attemptResult(e *control.AttemptResult) {
	number(c, &e.ID)
	number(c, &e.Attempt)
	number(c, &e.Endpoint)
	number(c, &e.Outcome)
	number(c, &e.Note)
	number(c, &e.Latency)
	number(c, &e.TransferTime)
	number(c, &e.FirstByte)
	c.flag(&e.RequestClosed)
	c.loadReport(&e.Load)
}

func (c *codec) healthCheckResult(e *control.HealthCheckResult) {
	number(c, &e.Endpoint)
	number(c, &e.Outcome)
	number(c, &e.Latency)
	c.loadReport(&e.Load)
}

// loadReport encodes or decodes an optional report.
func (c *codec) loadReport(report **control.LoadReport) {
	present := *report != nil
	c.flag(&present)
	if !present {
		return
	}
	if c.reading {
		*report = &control.LoadReport{}
	}
	c.float(&(*report).InFlight)
	c.float(&(*report).Utilization)
	c.float(&(*report).HitRate)
	c.float(&(*report).LinkUtilization)
}

func (c *codec) attempt(a *control.Attempt) {
	number(c, &a.ID)
	number(c, &a.To)
	number(c, &a.Source)
	number(c, &a.CacheRank)
	c.flag(&a.JoinFill)
	c.flag(&a.CachedOnly)
	number(c, &a.Timeout)
	number(c, &a.MaxAge)
	number(c, &a.SendDeadline)
}

func (c *codec) settings(s *control.Settings) {
	number(c, &s.Gateway)
	number(c, &s.Gateways)
	number(c, &s.Zone)
	list(c, &s.GatewaysByZone, func(v *int) { number(c, v) })
	list(c, &s.HubOfZone, func(v *int) { number(c, v) })
	number(c, &s.Kinds)
	number(c, &s.ParentKind)
	number(c, &s.OriginKind)
	list(c, &s.Classes, c.class)
	number(c, &s.BatchInterval)
	list(c, &s.LinkKBps, c.float)
	c.float(&s.ClientKBps)
	c.flag(&s.WeightsKnown)
	c.flag(&s.PollEndpoints)
	number(c, &s.MaxAttempts)
	c.flag(&s.CanCancel)
	c.flag(&s.CanCheckHealth)
	c.flag(&s.CanHedge)
	c.flag(&s.CanRetryAfter)
	c.flag(&s.ClientsMarkRetries)
	number(c, &s.MaxRetryAfter)
	c.flag(&s.CanBypassCaches)
	c.flag(&s.CanJoinFills)
	number(c, &s.PeerFillScope)
	c.flag(&s.ResultsDetailed)
	number(c, &s.DrainGrace)
	c.float(&s.SlowStartShare)
	number(c, &s.SlowStartDuration)
	c.float(&s.CollapseMultiple)
	number(c, &s.CollapseWindow)
	c.float(&s.ParentSlowStartShare)
	number(c, &s.ParentSlowStartDuration)
	c.float(&s.ParentCollapseMultiple)
	number(c, &s.PurgeGrace)
	number(c, &s.PurgeCompletion)
}

func (c *codec) class(k *control.Class) {
	number(c, &k.LatencyObjective)
	c.float(&k.ObjectiveStretch)
	number(c, &k.Deadline)
	c.float(&k.PriorityWeight)
	c.float(&k.LateValue)
	number(c, &k.Idempotency)
	number(c, &k.DedupScope)
	number(c, &k.DedupWindow)
	number(c, &k.FreshFor)
	number(c, &k.MaxStaleness)
	c.float(&k.StaleValue)
	c.flag(&k.Write)
}
