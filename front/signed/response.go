package signed

import (
	"strconv"
	"strings"

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
		s.finish(c.frontend.buildResponse(s, a))
	}
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
