package signed

import (
	"bytes"
	"crypto/rand"
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/dunglas/httpsfv"
	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/conditional"
	"turnfork.dev/turnfork/internal/http1"
)

const octetStream = "application/octet-stream"

// fail answers a request with an error, and states the cause in Proxy-Status (RFC 9209).
func (c *conn) fail(s *slot, status int, code, text, head string) {
	c.reply(s, c.frontend.errorResponse(s, status, code, text, head))
}

func (f *Frontend) errorResponse(s *slot, status int, code, text, head string) []byte {
	return http1.EncodeErrorResponse(status, code, text, f.dateHeader()+head+proxyStatusHeader(code)+f.opt.CORS.headers(&s.msg), s.msg.Close)
}

// proxyErrors maps the frontend's error codes to the proxy error types of RFC 9209, 2.3. The type of other codes is
// http_request_denied.
var proxyErrors = map[string]string{
	"malformed": "http_request_error", "method": "http_request_error", "not_found": "destination_not_found",
	"unknown_class": "destination_not_found", "crowded": "connection_limit_reached", "draining": "destination_unavailable",
	"refused": "connection_limit_reached", "too_many_failures": "http_request_denied", "limited": "connection_limit_reached",
	"claim_pending": "connection_limit_reached", "deadline": "http_response_timeout", "upstream_failed": "destination_unavailable",
	"no_quorum": "proxy_internal_error",
}

// proxyStatusHeaders caches the headers by code. It stays small, as all codes are constants of the program.
var proxyStatusHeaders sync.Map

func proxyStatusHeader(code string) string {
	if text, ok := proxyStatusHeaders.Load(code); ok {
		return text.(string)
	}
	cause := proxyErrors[code]
	if cause == "" {
		cause = "http_request_denied"
	}
	item := httpsfv.NewItem(httpsfv.Token("turnfork"))
	item.Params.Add("error", httpsfv.Token(cause))
	item.Params.Add("details", code)
	text := structuredHeader("Proxy-Status", item)
	proxyStatusHeaders.Store(code, text)
	return text
}

func structuredHeader(name string, item httpsfv.Item) string {
	text, err := httpsfv.Marshal(httpsfv.List{item})
	if err != nil { // never: names and values are constants
		return ""
	}
	return name + ": " + text + "\r\n"
}

// buildRepresentation returns the response with a representation, or what the request's conditions and ranges make of it.
func (f *Frontend) buildRepresentation(s *slot, a core.Answer, head string) []byte {
	m := &s.msg
	head += f.commonHeaders(s, a)
	if s.class.Write {
		return http1.EncodeResponse(200, octetStream, head, len(a.Body), a.Body, m.Close)
	}
	plan := conditional.Decide(conditional.Request{
		Method: m.Method, IfNoneMatch: m.Header["if-none-match"], IfMatch: m.Header["if-match"], IfRange: m.Header["if-range"],
		Range: m.Header["range"],
	}, len(a.Body), a.ETag)
	size := strconv.Itoa(len(a.Body))
	switch plan.Status {
	case 304:
		return http1.EncodeResponse(304, "", head, 0, nil, m.Close)
	case 412:
		return http1.EncodeResponse(412, "", head, 0, nil, m.Close)
	case 416:
		return http1.EncodeResponse(416, "", head+"Content-Range: bytes */"+size+"\r\n", 0, nil, m.Close)
	case 206:
		if len(plan.Spans) > 1 {
			kind, body := multipart(a.Body, plan.Spans)
			return http1.EncodeResponse(206, kind, head, len(body), body, m.Close)
		}
		p := plan.Spans[0]
		return http1.EncodeResponse(206, octetStream, head+contentRange(p, size), p.To-p.From, a.Body[p.From:p.To], m.Close)
	}
	head += "Accept-Ranges: bytes\r\n"
	if m.Method == "HEAD" {
		return http1.EncodeResponse(200, octetStream, head, len(a.Body), nil, m.Close)
	}
	return http1.EncodeResponse(200, octetStream, head, len(a.Body), a.Body, m.Close)
}

func contentRange(p conditional.Span, size string) string {
	return "Content-Range: bytes " + strconv.Itoa(p.From) + "-" + strconv.Itoa(p.To-1) + "/" + size + "\r\n"
}

// multipart encodes several ranges as multipart/byteranges (RFC 9110, 14.6).
func multipart(body []byte, spans []conditional.Span) (kind string, out []byte) {
	boundary, size := rand.Text(), strconv.Itoa(len(body))
	for _, p := range spans {
		out = append(out, "\r\n--"+boundary+"\r\nContent-Type: "+octetStream+"\r\n"+contentRange(p, size)+"\r\n"...)
		out = append(out, body[p.From:p.To]...)
	}
	return "multipart/byteranges; boundary=" + boundary, append(out, "\r\n--"+boundary+"--\r\n"...)
}

// commonHeaders returns the headers that all responses about a representation share.
func (f *Frontend) commonHeaders(s *slot, a core.Answer) string {
	return f.dateHeader() + f.cachingHeaders(s, a) + f.opt.CORS.headers(&s.msg)
}

// cachingHeaders returns the headers that state the age of a copy and how long it may be cached: as long as its class
// permits, and no longer than the grant is valid. Only private caches may store it, as the URL or the cookie is private too.
func (f *Frontend) cachingHeaders(s *slot, a core.Answer) string {
	if s.class.Write {
		return "Cache-Control: no-store\r\n"
	}
	now, head := f.opt.Clock.Unix(), ""
	age := 0.0
	if a.CreatedAt > 0 {
		age = math.Max(0, math.Floor((now-a.CreatedAt)/1000))
		head = "Age: " + strconv.Itoa(int(math.Min(age, math.MaxInt32))) + "\r\n"
	}
	if maxAge := math.Floor(math.Min(s.class.FreshMs/1000, age+(s.grantExpiresAt-f.opt.Clock.Now())/1000)); maxAge > age {
		head += "Cache-Control: private, max-age=" + strconv.Itoa(int(maxAge)) + "\r\n"
	} else { // valid until it is purged, or stale already: to be revalidated each time, which 304 makes cheap
		head += "Cache-Control: private, no-cache\r\n"
	}
	if s.tokenHeader != "" {
		head += "Vary: " + s.tokenHeader + "\r\n"
	}
	return head + f.cacheStatusHeader(s, a, age)
}

// cacheStatusHeaders maps the note in an endpoint's response to the header Cache-Status (RFC 9211), without ttl and line end.
var cacheStatusHeaders = func() map[control.Note]string {
	line := func(params ...any) string {
		item := httpsfv.NewItem(httpsfv.Token("turnfork"))
		for i := 0; i < len(params); i += 2 {
			item.Params.Add(params[i].(string), params[i+1])
		}
		return strings.TrimSuffix(structuredHeader("Cache-Status", item), "\r\n")
	}
	hit, miss := line("hit", true), line("fwd", httpsfv.Token("miss"))
	return map[control.Note]string{
		control.Hit: hit, control.StaleCopy: hit, control.Filled: miss, control.FilledByOrigin: miss,
		control.Joined: line("fwd", httpsfv.Token("miss"), "collapsed", true), control.NoNote: line("fwd", httpsfv.Token("bypass")),
	}
}()

// cacheStatusHeader returns the header that states whether an endpoint had the copy, and for how long it stays fresh.
func (f *Frontend) cacheStatusHeader(s *slot, a core.Answer, age float64) string {
	text, ok := cacheStatusHeaders[a.Note]
	if !ok {
		text = cacheStatusHeaders[control.NoNote]
	}
	if s.class.FreshMs > 0 && a.CreatedAt > 0 {
		text += ";ttl=" + strconv.Itoa(int(s.class.FreshMs/1000-age))
	}
	return text + "\r\n"
}

// dateLine is the header Date of one second.
type dateLine struct {
	second int64
	text   string
}

// dateHeader returns the header Date of a response.
func (f *Frontend) dateHeader() string {
	second := int64(f.opt.Clock.Unix() / 1000)
	if d := f.cachedDate.Load(); d != nil && d.second == second {
		return d.text
	}
	d := &dateLine{second, "Date: " + time.Unix(second, 0).UTC().Format(http.TimeFormat) + "\r\n"}
	f.cachedDate.Store(d)
	return d.text
}

// withDate inserts the header Date after the status line of a small response.
func (f *Frontend) withDate(b []byte) []byte {
	return bytes.Replace(b, []byte("\r\n"), []byte("\r\n"+f.dateHeader()), 1)
}

// CORS configures what pages of other origins may do (the Fetch standard's protocol). The zero value allows nothing.
type CORS struct {
	Origins []string // as browsers send them; * alone: any
	Headers []string // that requests may carry, besides the safelisted ones
	MaxAge  int      // s for which a browser may cache the response to a preflight
}

// allowedOrigin returns the value of Access-Control-Allow-Origin for a request, or "" if its origin is not allowed.
func (o *CORS) allowedOrigin(m *http1.Message) string {
	origin := m.Header["origin"]
	for _, x := range o.Origins {
		if origin != "" && x == "*" {
			return "*"
		}
		if origin != "" && x == origin {
			return origin
		}
	}
	return ""
}

// headers returns the CORS headers of a response other than that to OPTIONS.
func (o *CORS) headers(m *http1.Message) string {
	origin := o.allowedOrigin(m)
	if origin == "" {
		return o.varyHeader()
	}
	return "Access-Control-Allow-Origin: " + origin +
		"\r\nAccess-Control-Expose-Headers: Age, Cache-Status, Content-Range, ETag, Proxy-Status, Retry-After, X-Throttle-Ms\r\n" + o.varyHeader()
}

func (o *CORS) varyHeader() string {
	if len(o.Origins) == 0 || o.Origins[0] == "*" {
		return ""
	}
	return "Vary: Origin\r\n"
}

// optionsResponse returns the response to OPTIONS. No token is required, as a browser's preflight carries none.
func (f *Frontend) optionsResponse(s *slot, class Class) []byte {
	m, allow := &s.msg, "GET, HEAD, OPTIONS"
	if class.Write {
		allow = "POST, OPTIONS"
	}
	head := "Allow: " + allow + "\r\n"
	if origin := f.opt.CORS.allowedOrigin(m); origin != "" && m.Header["access-control-request-method"] != "" {
		head += "Access-Control-Allow-Origin: " + origin + "\r\nAccess-Control-Allow-Methods: " + allow + "\r\n"
		if len(f.opt.CORS.Headers) > 0 {
			head += "Access-Control-Allow-Headers: " + strings.Join(f.opt.CORS.Headers, ", ") + "\r\n"
		}
		if f.opt.CORS.MaxAge > 0 {
			head += "Access-Control-Max-Age: " + strconv.Itoa(f.opt.CORS.MaxAge) + "\r\n"
		}
	}
	return http1.EncodeResponse(204, "", f.dateHeader()+head+f.opt.CORS.varyHeader(), 0, nil, m.Close)
}
