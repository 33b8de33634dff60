// Command case3: the gateway that leads is killed while rides end. Is a phone whose ride never ran told that its token was used?
package main

import (
	"fmt"
	"sync"
	"time"

	"turnfork.dev/review/rig"
)

const (
	rides      = 120
	deadline   = time.Second            // of the class
	patience   = deadline / 2           // of each try; the pages: 50 to 100% of the class's give-up time, and one retry at most
	before     = 200 * time.Millisecond // the first ride ends so long before the kill
	spread     = 2 * time.Second        // the rides end within this time: 60 a second
	downFor    = 4 * time.Second        // the pages: 1.6 to 6.2 s
	settleTime = 6 * time.Second        // for claims and answers that are under way; the deadline and 2 s would do
)

// ride is one ride, and what its phone saw.
type ride struct {
	object string
	link   rig.Link
	first  rig.Response // Status 0: given up
	retry  *rig.Response
}

func main() { rig.Run(play) }

func play(c *rig.Case) (broken bool, err error) {
	d, err := rig.Deploy(c, rig.Options{
		Gateways: 3, Replicated: true, Keys: []rig.Key{rig.HMACKey("url-1")}, RideDeadlineMs: int(deadline.Milliseconds()),
	})
	if err != nil {
		return false, err
	}
	leader, err := startGroup(d)
	if err != nil {
		return false, err
	}
	var others []*rig.Gateway
	for _, g := range d.Gateways {
		if g != leader {
			others = append(others, g)
		}
	}
	all := make([]*ride, rides)
	for i := range all {
		all[i] = &ride{object: fmt.Sprintf("%016x", 0xe000+i)}
		all[i].link, err = d.Issue(others[0], map[string]any{"kind": "hmac", "uri": "/v1/ride-end/" + all[i].object + "/0"})
		if err != nil {
			return false, err
		}
	}
	c.Logf("%s leads; %d rides end at the other two", leader.Name, rides)
	var phones sync.WaitGroup
	for i, r := range all {
		phones.Go(func() {
			time.Sleep(spread * time.Duration(i) / rides)
			r.end(c, others[i%2], others[(i+1)%2])
		})
	}
	time.Sleep(before)
	if c.Trouble {
		leader.Kill()
		time.Sleep(downFor)
		if err := leader.Start(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(downFor)
	}
	phones.Wait()
	time.Sleep(settleTime)
	return judge(c, d, all, others[0]), nil
}

// end has the ride's phone end it: a try, and if that brings no answer in the phone's patience, one retry at another gateway.
func (r *ride) end(c *rig.Case, first, second *rig.Gateway) {
	r.first = rig.Do("POST", "http://"+first.Signed+r.link.URL, []byte("{}"), "", patience)
	c.Logf("ride %s: first try at %s: %v", r.object, first.Name, r.first)
	if r.first.Status != 0 {
		return
	}
	again := rig.Do("POST", "http://"+second.Signed+r.link.URL, []byte("{}"), "", patience)
	r.retry = &again
	c.Logf("ride %s: retry at %s: %v", r.object, second.Name, again)
}

// judge reports whether a phone was told finally that its token was used, by a request that was never sent to the main store,
// and the ride never ran; or whether a ride ran twice.
func judge(c *rig.Case, d *rig.Deployment, all []*ride, g *rig.Gateway) (broken bool) {
	var served, refused, noAnswer, mayHaveRun, lost, twice int
	var example *ride
	for _, r := range all {
		last, runs := r.first, d.Store.Runs(r.object)
		if r.retry != nil {
			last = *r.retry
		}
		if runs > 1 {
			twice++
			c.Logf("BROKEN: ride %s ran %d times", r.object, runs)
		}
		claim := last.Header.Get("X-Claim")
		switch {
		case last.Status == 200:
			served++
		case last.Status == 0:
			noAnswer++
		case last.Status == 503:
			refused++
		case last.Status == 403 && runs == 0 && (claim == "held" || claim == "unknown"):
			lost++
			example = r
			c.Logf("BROKEN: ride %s never ran, and its phone was told %v: %s", r.object, last, last.Body)
		default:
			mayHaveRun++
		}
	}
	c.Logf("%d rides: %d served, %d refused for now (503), %d without an answer in the phone's patience, %d told that it may have run; %d told that the token was used though nothing ran; %d ran twice",
		len(all), served, refused, noAnswer, mayHaveRun, lost, twice)
	if example != nil {
		answer := rig.Do("POST", "http://"+g.Signed+example.link.URL, []byte("{}"), "", 5*time.Second)
		c.Logf("for the record: the link of ride %s is taken now, %s after: %v, runs %d", example.object, settleTime, answer, d.Store.Runs(example.object))
	}
	return lost+twice > 0
}

// startGroup starts the gateways and returns the one that leads: while the third one is not there, the leader alone logs that it
// fails to reach it.
func startGroup(d *rig.Deployment) (leader *rig.Gateway, err error) {
	for _, g := range d.Gateways {
		g.Trace = true
	}
	for _, g := range d.Gateways[:2] {
		if err := g.Start(); err != nil {
			return nil, err
		}
	}
	for _, g := range d.Gateways[:2] {
		if err := g.AwaitReady(true, 20*time.Second); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Second)
	for _, g := range d.Gateways[:2] {
		if g.Logged("failed to appendEntries") {
			leader = g
		}
	}
	if leader == nil {
		return nil, fmt.Errorf("no gateway is seen to lead")
	}
	if err := d.Gateways[2].Start(); err != nil {
		return nil, err
	}
	return leader, d.Gateways[2].AwaitReady(true, 20*time.Second)
}
