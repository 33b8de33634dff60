// Command case2: a gateway that votes is killed, and starts again. Do the revocations and the withdrawn keys hold there?
package main

import (
	"errors"
	"fmt"
	"time"

	"turnfork.dev/review/rig"
)

const (
	downFor   = 6000 * time.Millisecond // the pages: 1.6 to 6.2 s
	allowance = time.Second             // after the gateway says that it is ready: "learns each change within a second"
	watchFor  = 8 * time.Second
)

func main() { rig.Run(play) }

func play(c *rig.Case) (broken bool, err error) {
	former, present := rig.HMACKey("url-1"), rig.HMACKey("url-2")
	d, err := rig.Deploy(c, rig.Options{Gateways: 3, Replicated: true, Keys: []rig.Key{former, present}, RideDeadlineMs: 3000})
	if err != nil {
		return false, err
	}
	// The first two elect a leader before the third one is started, so the third one follows.
	if err := rig.StartAll(d.Gateways[:2]); err != nil {
		return false, err
	}
	if err := rig.StartAll(d.Gateways[2:]); err != nil {
		return false, err
	}
	operator, victim := d.Gateways[0], d.Gateways[2]
	issue := func(name, key, path, method string) (link rig.Link) {
		if err != nil {
			return link
		}
		link, err = d.Issue(operator, map[string]any{"kind": "hmac", "key": key, "uri": path})
		link.Name, link.Method = name, method
		return link
	}
	withdrawn := issue("map of a withdrawn key", "url-1", "/v1/firmware/00000000000000a1/0", "GET")
	revoked := issue("revoked map", "url-2", "/v1/firmware/00000000000000a2/0", "GET")
	ride := issue("ride of a withdrawn key", "url-1", "/v1/ride-end/00000000000000e1/0", "POST")
	earlyRide := issue("another ride of a withdrawn key", "url-1", "/v1/ride-end/00000000000000e2/0", "POST")
	if err != nil {
		return false, err
	}
	ask := func(link rig.Link) rig.Response {
		answer := rig.Do(link.Method, "http://"+victim.Signed+link.URL, nil, "", 5*time.Second)
		ready, fresh := victim.Ready()
		c.Logf("%s: %s: %v (ready %v, fresh %v)", victim.Name, link.Name, answer, ready, fresh)
		return answer
	}
	for _, link := range []rig.Link{withdrawn, revoked} {
		if got := ask(link); got.Status != 200 {
			return false, fmt.Errorf("%s: %v before anything was withdrawn", link.Name, got)
		}
	}
	if _, err := d.Operate(operator, "/-/revocations", map[string]any{"key": revoked.Key, "id": revoked.ID}); err != nil {
		return false, err
	}
	if _, err := d.Operate(operator, "/-/keys", []rig.Key{present}); err != nil {
		return false, err
	}
	c.Logf("the operator has revoked one link, and withdrawn the key url-1: both calls were answered 200")
	time.Sleep(1500 * time.Millisecond)
	for _, link := range []rig.Link{withdrawn, revoked, earlyRide} {
		if got := ask(link); got.Status != 403 {
			return false, fmt.Errorf("%s: %v before the trouble", link.Name, got)
		}
	}
	if c.Trouble {
		victim.Kill()
		time.Sleep(downFor)
		if err := victim.Start(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(downFor)
	}
	if err := victim.AwaitReady(false, 10*time.Second); err != nil {
		return false, err
	}
	c.Logf("%s says that it is ready", victim.Name)
	time.Sleep(allowance)
	rideAnswer := ask(ride)
	broken = rideAnswer.Status == 200
	for end := time.Now().Add(watchFor); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		for _, link := range []rig.Link{withdrawn, revoked} {
			switch got := ask(link); got.Status {
			case 200:
				broken = true
			case 403, 503: // refused
			default:
				return false, errors.New("an answer that says nothing of the rule: " + got.String())
			}
		}
	}
	if runs := d.Store.Runs("00000000000000e1"); runs > 0 {
		c.Logf("the ride of the withdrawn key ran %d times at the main store", runs)
		broken = true
	}
	return broken, nil
}
