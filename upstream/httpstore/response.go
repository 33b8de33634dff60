package httpstore

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/neterr"
	"turnfork.dev/turnfork/limits"
)

// errBodyTooLong is the error of a response whose body exceeds maxBodyBytes.
var errBodyTooLong = errors.New("httpstore: response body exceeds the limit")

// readResult reads the body of an attempt's response and returns the attempt's result.
func (u *Upstream) readResult(ctx context.Context, s core.AttemptRequest, resp *http.Response) core.AttemptResult {
	result := core.AttemptResult{AttemptKey: s.AttemptKey}
	reservation, err := u.reserveBody(ctx, resp)
	if err != nil {
		result.Outcome, result.Unconfirmed = control.Canceled, true
		return result
	}
	body, err := readAll(resp.Body)
	if err != nil {
		reservation.Release()
		result.Outcome, result.Unconfirmed = control.ServerError, true
		if ctx.Err() != nil || neterr.IsLocal(err) {
			result.Outcome = control.Canceled
		}
		return result
	}
	result.ETag = strings.Trim(resp.Header.Get("ETag"), `"`)
	result.Outcome = responseOutcome(resp, s)
	switch {
	case result.Outcome == control.ServerError:
		base := u.opt.Endpoints[s.Endpoint].Base
		u.opt.Log.Debug().Int("status", resp.StatusCode).Str("store", base).Msg("endpoint responded with an error status")
	case result.Outcome != control.OK:
	case resp.StatusCode == http.StatusNotModified:
		result.Note, result.NotModified = control.Hit, true
	default:
		result.Note, result.Body, result.BodyReservation = control.Hit, body, reservation
	}
	if result.BodyReservation == nil {
		reservation.Release()
	}
	return result
}

// responseOutcome returns the outcome of an attempt with a response. Only a rejection (429 or 503) proves that a write has not run;
// a 404 does not, so it counts as a server error then.
func responseOutcome(resp *http.Response, s core.AttemptRequest) control.Outcome {
	switch {
	case isServed(resp, s.Write):
		return control.OK
	case resp.StatusCode == http.StatusNotModified && s.ClientETag != "": // it can only confirm a copy that the request named
		return control.OK
	case resp.StatusCode == http.StatusNotFound && !s.Write:
		return control.Miss
	case resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusTooManyRequests:
		return control.Overloaded
	}
	return control.ServerError
}

// isServed reports whether a response has what the request asked for: the complete representation, or the result of a write.
func isServed(resp *http.Response, write bool) bool {
	switch resp.StatusCode {
	case http.StatusOK:
		return hasMarkedEnd(resp)
	case http.StatusCreated, http.StatusNoContent: // these carry no representation
		return write && hasMarkedEnd(resp)
	}
	return false
}

// hasMarkedEnd reports whether the end of a response's body is marked, by its length or as the last chunk. A body that ends with the
// connection can't be told from one that was cut off (RFC 9112, 8).
func hasMarkedEnd(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.ProtoMajor > 1
}

// reserveBody reserves the bytes of a response's body before it is read, and waits while the budget is exhausted, at most until
// the attempt is canceled.
func (u *Upstream) reserveBody(ctx context.Context, resp *http.Response) (*limits.Reservation, error) {
	budget := u.opt.ResponseBudget
	if budget == nil || resp.ContentLength == 0 {
		return nil, nil
	}
	size := maxBodyBytes
	if resp.ContentLength > 0 {
		size = int(min(resp.ContentLength, maxBodyBytes))
	}
	if err := budget.Reserve(ctx, size); err != nil {
		return nil, err
	}
	return limits.NewReservation(budget, size), nil
}

func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, maxBodyBytes+1))
	if err == nil && len(b) > maxBodyBytes {
		err = errBodyTooLong
	}
	return b, err
}
