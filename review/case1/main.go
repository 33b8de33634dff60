// Command case1: a phone has a Common Access Token that is renewed by cookie. Does one token still end one ride, and does its
// revocation hold?
package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/cookiejar"
	"strings"
	"sync/atomic"
	"time"

	"turnfork.dev/review/rig"
)

const (
	rideObject = "00000000000000e1"
	mapPath    = "/v1/firmware/00000000000000a1/0"
	pause      = 1500 * time.Millisecond // between two of the phone's requests
)

func main() { rig.Run(play) }

func play(c *rig.Case) (broken bool, err error) {
	d, err := rig.Deploy(c, rig.Options{Gateways: 3, Replicated: true, Keys: []rig.Key{rig.CATKey("cat-1")}, RideDeadlineMs: 3000})
	if err != nil {
		return false, err
	}
	var losesAnswer atomic.Bool
	d.Store.Behave = func(_ http.ResponseWriter, object string, run func()) bool {
		if !losesAnswer.CompareAndSwap(true, false) {
			return false
		}
		run()
		c.Logf("main store: the answer for ride %s is lost, its connection is closed", object)
		panic(http.ErrAbortHandler)
	}
	if err := d.StartAll(); err != nil {
		return false, err
	}
	gateway := d.Gateways[0]
	issued, err := d.Issue(gateway, map[string]any{"kind": "cat", "cover": "/v1/", "renew": 3600})
	if err != nil {
		return false, err
	}
	c.Logf("the operator has issued a token with renewal by cookie, key %s, id %s", issued.Key, issued.ID)
	phone, err := newPhone(c, gateway, issued.Token)
	if err != nil {
		return false, err
	}
	time.Sleep(pause)
	if got := phone.send("GET", mapPath); got.Status != 200 {
		return false, fmt.Errorf("a map was answered %v", got)
	}
	losesAnswer.Store(c.Trouble)
	time.Sleep(pause)
	if got := phone.send("POST", "/v1/ride-end/"+rideObject+"/0"); got.Status != 200 {
		c.Logf("the phone does not know whether its ride has ended; it goes on, and asks again")
		time.Sleep(pause)
		phone.send("GET", mapPath)
		time.Sleep(pause)
		phone.send("POST", "/v1/ride-end/"+rideObject+"/0")
	}
	if runs := d.Store.Runs(rideObject); runs > 1 {
		c.Logf("BROKEN: ride %s ran %d times", rideObject, runs)
		broken = true
	}
	if !c.Trouble {
		return broken, nil
	}
	if _, err := d.Operate(gateway, "/-/revocations", map[string]any{"key": issued.Key, "id": issued.ID}); err != nil {
		return false, err
	}
	c.Logf("the operator has revoked the token by the id that was told when it was issued")
	time.Sleep(2 * time.Second)
	if got := phone.send("GET", mapPath); got.Status == 200 {
		c.Logf("BROKEN: two seconds after its token was revoked, the phone is served, and its token is renewed again")
		broken = true
	}
	return broken, nil
}

// phone is a client with a cookie jar, as browsers and HTTP libraries have one.
type phone struct {
	c      *rig.Case
	base   string
	client *http.Client
	token  string // the last one that was sent
}

func newPhone(c *rig.Case, g *rig.Gateway, token string) (*phone, error) {
	jar, err := cookiejar.New(nil)
	if err != nil {
		return nil, err
	}
	p := &phone{c: c, base: "http://" + g.Signed, client: &http.Client{
		Jar: jar, Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true},
	}}
	first, err := http.NewRequest("GET", p.base+"/", nil)
	if err != nil {
		return nil, err
	}
	jar.SetCookies(first.URL, []*http.Cookie{{Name: "CAT", Value: token, Path: "/"}})
	return p, nil
}

func (p *phone) send(method, path string) rig.Response {
	request, err := http.NewRequest(method, p.base+path, strings.NewReader(""))
	if err != nil {
		return rig.Response{Err: err}
	}
	var token string
	for _, cookie := range p.client.Jar.Cookies(request.URL) {
		token = cookie.Value
	}
	renewed := ""
	if p.token != "" && token != p.token {
		renewed = ", with the token that the gateway sent it as the successor"
	}
	p.token = token
	answer, err := p.client.Do(request)
	if err != nil {
		p.c.Logf("phone: %s %s%s: no answer: %v", method, path, renewed, err)
		return rig.Response{Err: err}
	}
	defer answer.Body.Close()
	body, _ := io.ReadAll(answer.Body)
	got := rig.Response{Status: answer.StatusCode, Header: answer.Header, Body: body}
	p.c.Logf("phone: %s %s%s: %v, Set-Cookie %t", method, path, renewed, got, answer.Header.Get("Set-Cookie") != "")
	return got
}
