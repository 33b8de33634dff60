package signed

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/http1"
	"turnfork.dev/turnfork/token"
)

// Answer receives the core's final answer to a request.
func (c *conn) Answer(tag uint64, a core.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.open[tag]
	if s == nil {
		return // canceled
	}
	delete(c.open, tag)
	if s.owner != "" { // before the response, so that OpenRequests does not return 0 in between
		c.frontend.recordOutcome(s.claimName, outcomeStep(s, a))
	}
	if !s.done {
		c.answer(s, a)
	}
}

// answer sets the response for a final answer. The body is not copied if the response budget has no room for it.
func (c *conn) answer(s *slot, a core.Answer) {
	f := c.frontend
	if !f.responseBudget.TryReserve(len(a.Body)) {
		c.finish(s, f.crowdedResponse(s))
		return
	}
	response := f.buildResponse(s, a)
	f.responseBudget.Release(len(a.Body))
	c.finish(s, response)
}

// reserveResponse reserves the bytes of a response, or returns an error response in its stead. A client must not lose its
// connection because others leave too much unread, so small responses are reserved beyond the budget; each connection has at
// most maxPipelined and two of them at a time.
func (f *Frontend) reserveResponse(s *slot, b []byte) []byte {
	switch {
	case f.responseBudget.TryReserve(len(b)):
	case len(b) > smallResponse:
		b = f.crowdedResponse(s)
		fallthrough
	default:
		f.responseBudget.ReserveBeyond(len(b))
	}
	s.answerReserved = len(b)
	return b
}

// crowdedResponse returns the response in place of one for which the response budget has no room.
func (f *Frontend) crowdedResponse(s *slot) []byte {
	f.logSampled(f.opt.Log.Warn(), "response budget exhausted; responding 502 instead", func(e *zerolog.Event) {
		e.Str("path", s.msg.Path).Int64("all_bytes", f.responseBudget.Reserved())
	})
	return f.errorResponse(s, http.StatusBadGateway, "crowded", "too much waits to be written", "Retry-After: 1\r\n")
}

// reserveRequest reserves n more bytes of a request that is being read. It returns false if the request budget has no room.
func (f *Frontend) reserveRequest(s *slot, n int) bool {
	share := 1.0
	if s.reservedBytes+n > smallRequest {
		share = largeRequestShare
	}
	if !f.requestBudget.TryReserveShare(n, share) {
		f.logSampled(f.opt.Log.Warn(), "request budget exhausted; responding 503", func(e *zerolog.Event) {
			e.Int("bytes", s.reservedBytes+n).Int64("all_bytes", f.requestBudget.Reserved())
		})
		return false
	}
	s.reservedBytes += n
	return true
}

// buildResponse maps a final answer to a response.
func (f *Frontend) buildResponse(s *slot, a core.Answer) []byte {
	head := ""
	if a.ETag != "" {
		head = "ETag: \"" + a.ETag + "\"\r\n"
	}
	if s.renewable != nil && (a.Verdict == core.Served || a.Verdict == core.NotModified) {
		head += f.renewalHeader(s)
	}
	switch a.Verdict {
	case core.Served:
		return f.buildRepresentation(s, a, head)
	case core.NotModified:
		return http1.EncodeResponse(304, "", head+f.commonHeaders(s, a), 0, nil, s.msg.Close)
	case core.Rejected:
		head := retryHeaders(a.RetryAfter)
		if a.Reason == core.DeadlineExceeded {
			return f.errorResponse(s, 504, "deadline", "no answer in time; trying again is harmless", head)
		}
		return f.errorResponse(s, 503, "refused", "not now; trying again is harmless", head)
	}
	switch a.Reason {
	case core.UnknownClass:
		return f.errorResponse(s, 404, "unknown_class", "no such class", "")
	case core.DeadlineExceeded:
		return f.errorResponse(s, 504, "deadline", "no answer in time", "")
	case core.AuthorizationExpired:
		return f.errorResponse(s, 403, "expired", "the token expired before the request could be sent on", "")
	}
	return f.errorResponse(s, 502, "upstream_failed", "the store failed", "")
}

// retryHeaders returns the headers that state after how long a client should retry, in whole seconds and in ms.
func retryHeaders(ms float64) string {
	head := "Retry-After: " + strconv.Itoa(max(1, int((ms+999)/1000))) + "\r\n"
	if ms > 0 {
		head += "X-Throttle-Ms: " + strconv.Itoa(max(1, int(ms))) + "\r\n"
	}
	return head
}

// rejectionResponse returns the contents of the response to a rejected token.
func rejectionResponse(err error) (status int, code, text, head string) {
	reason := token.ReasonOf(err)
	code, text = string(reason), strings.TrimPrefix(err.Error(), "token: ")
	switch reason {
	case token.Missing:
		return 401, code, text, "WWW-Authenticate: URISigning realm=\"turnfork\"\r\n"
	case token.Malformed:
		return 400, code, text, ""
	}
	return 403, code, text, ""
}
