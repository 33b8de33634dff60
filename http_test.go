package turnfork

import (
	"io"
	"mime"
	"mime/multipart"
	"net/http"
	"strings"
	"testing"
	"time"
)

// request sends a request with headers, given as alternating names and values, and returns the response and its body.
func (s *signedGateway) request(method, path string, headers ...string) (*http.Response, string) {
	s.t.Helper()
	r, err := http.NewRequest(method, "http://"+s.addr+path, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Add(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		s.t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp, string(b)
}

// The response to a read follows RFC 9110 for ranges and conditions.
func TestRangesAndConditions(t *testing.T) {
	s := newSignedGateway(t, nil) // the part is "piece 3" with the tag 00000000000000aa
	const tag, other = `"00000000000000aa"`, `"00000000000000bb"`
	u := s.url(tile, 600, "n")
	for _, x := range []struct {
		name, method       string
		headers            []string
		status             int
		body, contentRange string
	}{
		{"complete", "GET", nil, 200, "piece 3", ""},
		{"HEAD", "HEAD", nil, 200, "", ""},
		{"HEAD with a range", "HEAD", []string{"Range", "bytes=0-1"}, 200, "", ""},
		{"first bytes", "GET", []string{"Range", "bytes=0-1"}, 206, "pi", "bytes 0-1/7"},
		{"from a byte on", "GET", []string{"Range", "bytes=5-"}, 206, " 3", "bytes 5-6/7"},
		{"last bytes", "GET", []string{"Range", "bytes=-3"}, 206, "e 3", "bytes 4-6/7"},
		{"past the end", "GET", []string{"Range", "bytes=5-99999999999999999999"}, 206, " 3", "bytes 5-6/7"},
		{"beyond the end", "GET", []string{"Range", "bytes=7-"}, 416, "", "bytes */7"},
		{"zero last bytes", "GET", []string{"Range", "bytes=-0"}, 416, "", "bytes */7"},
		{"one of two beyond the end", "GET", []string{"Range", "bytes=0-0,9-"}, 206, "p", "bytes 0-0/7"},
		{"malformed", "GET", []string{"Range", "bytes=b-a"}, 200, "piece 3", ""},
		{"other unit", "GET", []string{"Range", "lines=0-1"}, 200, "piece 3", ""},
		{"end before start", "GET", []string{"Range", "bytes=3-1"}, 200, "piece 3", ""},
		{"overlapping", "GET", []string{"Range", "bytes=0-3,2-5"}, 200, "piece 3", ""},
		{"too many ranges", "GET", []string{"Range", "bytes=" + strings.Repeat("0-0,", 40)}, 200, "piece 3", ""},
		{"If-Range with the same tag", "GET", []string{"Range", "bytes=0-1", "If-Range", tag}, 206, "pi", "bytes 0-1/7"},
		{"If-Range with another tag", "GET", []string{"Range", "bytes=0-1", "If-Range", other}, 200, "piece 3", ""},
		{"If-Range with a weak tag", "GET", []string{"Range", "bytes=0-1", "If-Range", "W/" + tag}, 200, "piece 3", ""},
		{"If-Range with a date", "GET", []string{"Range", "bytes=0-1", "If-Range", "Tue, 01 Dec 2026 00:00:00 GMT"}, 200, "piece 3", ""},
		{"If-None-Match list with the tag", "GET", []string{"If-None-Match", other + ", W/" + tag}, 304, "", ""},
		{"If-None-Match list without the tag", "GET", []string{"If-None-Match", other + `, "x"`}, 200, "piece 3", ""},
		{"If-None-Match: *", "GET", []string{"If-None-Match", "*"}, 304, "", ""},
		{"HEAD with If-None-Match", "HEAD", []string{"If-None-Match", tag + "," + other}, 304, "", ""},
		{"If-None-Match takes precedence over Range", "GET", []string{"If-None-Match", "*", "Range", "bytes=0-1"}, 304, "", ""},
		{"malformed If-None-Match list", "GET", []string{"If-None-Match", `"x`}, 200, "piece 3", ""},
		{"If-Match with the tag", "GET", []string{"If-Match", tag}, 200, "piece 3", ""},
		{"If-Match with another tag", "GET", []string{"If-Match", other}, 412, "", ""},
	} {
		resp, body := s.request(x.method, u, x.headers...)
		if resp.StatusCode != x.status || body != x.body || resp.Header.Get("Content-Range") != x.contentRange {
			t.Errorf("%s: %d %q %q", x.name, resp.StatusCode, body, resp.Header.Get("Content-Range"))
		}
		if resp.Header.Get("ETag") != tag && x.status != 416 {
			t.Errorf("%s: tag %s", x.name, resp.Header.Get("ETag"))
		}
		if at, err := http.ParseTime(resp.Header.Get("Date")); err != nil || !at.Equal(time.UnixMilli(start)) {
			t.Errorf("%s: Date %v %v", x.name, at, err)
		}
	}
	resp, body := s.request("GET", u, "Range", "bytes=0-1, 4-5")
	kind, params, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || kind != "multipart/byteranges" || resp.StatusCode != 206 {
		t.Fatal(resp.StatusCode, kind, err)
	}
	r := multipart.NewReader(strings.NewReader(body), params["boundary"])
	for _, want := range [][2]string{{"bytes 0-1/7", "pi"}, {"bytes 4-5/7", "e "}} {
		p, err := r.NextPart()
		if err != nil {
			t.Fatal(err)
		}
		b, _ := io.ReadAll(p)
		if p.Header.Get("Content-Range") != want[0] || string(b) != want[1] {
			t.Errorf("%v: %q", p.Header, b)
		}
	}
	if _, err := r.NextPart(); err != io.EOF {
		t.Error("more parts:", err)
	}
}

// Response headers state the age, the cache lifetime and the source of a response, and the reason for a rejection.
func TestResponseHeadersGiveReasons(t *testing.T) {
	s := newSignedGateway(t, nil) // its content was created 10 s before the test's time
	asset := "/v1/app-assets/7f3a9c21e0b4d655/0"
	for _, x := range []struct {
		name, url string
		want      map[string]string
	}{
		{"fresh", s.url(asset, 600, "a"), map[string]string{"Age": "10", "Cache-Control": "private, max-age=12", "Cache-Status": "turnfork;hit;ttl=2"}},
		{"grant expires before the content", s.url(asset, 1, "b"), map[string]string{"Age": "10", "Cache-Control": "private, max-age=11"}},
		{"until purged", s.url(tile, 600, "c"), map[string]string{"Age": "10", "Cache-Control": "private, no-cache", "Cache-Status": "turnfork;hit"}},
		{"no token", tile, map[string]string{"Proxy-Status": `turnfork;error=http_request_denied;details="missing"`, "Cache-Control": "no-store"}},
		{"malformed", tile + "?a=1&a=2", map[string]string{"Proxy-Status": `turnfork;error=http_request_error;details="malformed"`}},
		{"no class", s.url("/v1/x/7f3a9c21e0b4d655/0", 60, "d"), map[string]string{"Proxy-Status": `turnfork;error=destination_not_found;details="unknown_class"`}},
	} {
		resp, _ := s.request("GET", x.url)
		for name, want := range x.want {
			if got := resp.Header.Get(name); got != want {
				t.Errorf("%s: %s: %s, want %s", x.name, name, got, want)
			}
		}
	}
	pack := strings.SplitN(s.packageURL(asset, nil), "=", 2)[1]
	resp, _ := s.request("GET", asset, "Cookie", "URISigningPackage="+pack)
	if resp.StatusCode != 200 || !strings.Contains(strings.Join(resp.Header.Values("Vary"), ","), "Cookie") {
		t.Error(resp.StatusCode, resp.Header)
	}
	resp, _ = s.request("POST", s.url(rideEnd, 60, "r"))
	if resp.StatusCode != 200 || resp.Header.Get("Cache-Control") != "no-store" {
		t.Error(resp.StatusCode, resp.Header)
	}
}

// Origins in the operator's file get CORS headers, and their preflight requests need no token. Other origins get no CORS headers.
func TestCORS(t *testing.T) {
	s := newSignedGateway(t, nil)
	pre := []string{"Access-Control-Request-Method", "GET", "Access-Control-Request-Headers", "range"}
	resp, _ := s.request("OPTIONS", tile, append(pre, "Origin", "https://app.example")...)
	h := resp.Header
	if resp.StatusCode != 204 || h.Get("Access-Control-Allow-Origin") != "https://app.example" || h.Get("Access-Control-Allow-Methods") != "GET, HEAD, OPTIONS" ||
		h.Get("Access-Control-Allow-Headers") != "range, if-range" || h.Get("Access-Control-Max-Age") != "600" || h.Get("Vary") != "Origin" {
		t.Error(resp.StatusCode, h)
	}
	for _, origin := range []string{"https://other.example", "https://app.example.evil", "null"} {
		resp, _ := s.request("OPTIONS", tile, append(pre, "Origin", origin)...)
		if resp.StatusCode != 204 || resp.Header.Get("Access-Control-Allow-Origin") != "" || resp.Header.Get("Access-Control-Allow-Methods") != "" {
			t.Error(origin, resp.StatusCode, resp.Header)
		}
	}
	resp, _ = s.request("OPTIONS", rideEnd)
	if resp.StatusCode != 204 || resp.Header.Get("Allow") != "POST, OPTIONS" {
		t.Error(resp.StatusCode, resp.Header)
	}
	for _, path := range []string{s.url(tile, 60, "n"), tile} { // the page can read a rejection too
		resp, _ := s.request("GET", path, "Origin", "https://help.example")
		if resp.Header.Get("Access-Control-Allow-Origin") != "https://help.example" || !strings.Contains(resp.Header.Get("Access-Control-Expose-Headers"), "ETag") {
			t.Error(resp.StatusCode, resp.Header)
		}
	}
}
