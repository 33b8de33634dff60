package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"turnfork.dev/turnfork/internal/http1"
)

// overrideTimeout limits the application of an override, because the response is due within 1 s.
const overrideTimeout = 900 * time.Millisecond

var errMalformedBody = errors.New(`the body is not {"id":"ID"}`)

// route defines the call at a path.
type route struct {
	method        string                                                      // GET includes HEAD
	needsEndpoint bool                                                        // the body names an endpoint
	apply         func(ctx context.Context, g Gateway, endpoint string) error // nil: the call only reports the state
}

var routes = map[string]route{
	"/ready":          {method: http.MethodGet},
	"/drain":          {method: http.MethodPut, apply: drain(true)},
	"/undrain":        {method: http.MethodPut, apply: drain(false)},
	"/stores/disable": {method: http.MethodPut, apply: disable(true), needsEndpoint: true},
	"/stores/enable":  {method: http.MethodPut, apply: disable(false), needsEndpoint: true},
}

func drain(on bool) func(context.Context, Gateway, string) error {
	return func(ctx context.Context, g Gateway, _ string) error { return g.SetDraining(ctx, on) }
}

func disable(on bool) func(context.Context, Gateway, string) error {
	return func(ctx context.Context, g Gateway, endpoint string) error {
		id, err := ParseID(endpoint)
		if err != nil {
			return ErrUnknownEndpoint
		}
		return g.SetDisabled(ctx, id, on)
	}
}

// allowedMethod returns the method that the route accepts. If it accepts GET, it accepts HEAD as well.
func (r route) allowedMethod(method string) string {
	if r.method == http.MethodGet && method == http.MethodHead {
		return method
	}
	return r.method
}

// handle executes one request and returns its response.
func (s *Server) handle(ctx context.Context, message *http1.Message) []byte {
	route, ok := routes[message.Path]
	if !ok {
		return errorResponse(http.StatusNotFound, "not_found", "no such path", "")
	}
	if allowed := route.allowedMethod(message.Method); message.Method != allowed {
		return errorResponse(http.StatusMethodNotAllowed, "method", "this takes "+allowed, "Allow: "+allowed+"\r\n")
	}
	endpoint := ""
	if route.needsEndpoint {
		var err error
		if endpoint, err = parseEndpoint(message.Body); err != nil {
			return errorResponse(http.StatusBadRequest, "malformed", err.Error(), "")
		}
	}
	if route.apply != nil {
		err := s.applyOverride(ctx, message.Path, route, endpoint)
		if errors.Is(err, ErrUnknownEndpoint) {
			return errorResponse(http.StatusNotFound, "unknown_store", err.Error(), "")
		}
		if err != nil {
			return errorResponse(http.StatusServiceUnavailable, "not_done", err.Error(), "Retry-After: 1\r\n")
		}
	}
	return s.stateResponse(message)
}

// parseEndpoint returns the endpoint ID in a request body.
func parseEndpoint(body []byte) (string, error) {
	var request struct{ ID *string }
	if err := json.Unmarshal(body, &request); err != nil || request.ID == nil {
		return "", errMalformedBody
	}
	return *request.ID, nil
}

// applyOverride applies an override, and returns nil once it is in force.
func (s *Server) applyOverride(ctx context.Context, path string, route route, endpoint string) error {
	ctx, cancel := context.WithTimeout(ctx, overrideTimeout)
	defer cancel()
	err := route.apply(ctx, s.opt.Gateway, endpoint)
	s.opt.Log.Info().Err(err).Str("path", path).Str("endpoint", endpoint).Msg("admin request handled")
	return err
}

// stateResponse returns the gateway's state. Its status is 503 for a readiness check of a gateway that is not ready.
func (s *Server) stateResponse(message *http1.Message) []byte {
	state := s.opt.Gateway.State()
	status := http.StatusOK
	if message.Path == "/ready" && !state.Ready {
		status = http.StatusServiceUnavailable
	}
	body, _ := json.Marshal(state) // cannot fail: a State has only plain fields
	body = append(body, '\n')
	length := len(body)
	if message.Method == http.MethodHead {
		body = nil
	}
	return http1.EncodeResponse(status, "application/json", "Cache-Control: no-store\r\n", length, body, true)
}

// errorResponse returns a response with an error code and text. headers are complete header lines.
func errorResponse(status int, code, text, headers string) []byte {
	return http1.EncodeErrorResponse(status, code, text, headers, true)
}
