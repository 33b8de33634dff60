package main

import (
	"fmt"
	"syscall"
	"time"

	"turnfork.dev/review/rig2"
)

// upgradeRide replaces the process of a gateway as its operators do, and repeats a ride-end with the same token at the new one.
func upgradeRide(c *rig2.Case) {
	cache, origin := c.NewStore("cache"), c.NewStore("origin")
	socket, addr := c.SharedListener()
	consoles := []string{c.FreeAddr(), c.FreeAddr()}
	start := func(i int) *rig2.Process {
		file := c.Write(fmt.Sprintf("process-%d.toml", i), rig2.SignedFile("phones-1", addr, consoles[i], cache.Addr, origin.Addr, ""))
		p := c.Gateway(fmt.Sprintf("process-%d", i), "-config "+file, []string{"TMPDIR=" + c.Dir, "NODE_SOCKET_FD=3"}, socket)
		c.Until(6*time.Second, "the process is ready", func() bool { return rig2.Ready(consoles[i]) })
		c.Note("process-%d: says that it is ready", i)
		return p
	}
	old := start(0)
	token := c.Issue(addr, rig2.Secret, "hmac", "/v1/ride-end/00000000000000e1/0", 600)
	ride := func(what string) rig2.Reply {
		reply, err := rig2.Call("POST", "http://"+addr+token.URL, "", "ride", 5*time.Second)
		c.Must(err)
		c.Note("%s: POST of ride-end with the token: %d, X-Claim %q, %.80q", what, reply.Status, reply.Header.Get("X-Claim"), reply.Body)
		return reply
	}
	if first := ride("first use"); first.Status != 200 || len(origin.Requests()) != 1 {
		c.Fail("the first use was not served once")
	}
	time.Sleep(time.Second) // for the outcome to be recorded
	if c.Trouble {
		start(1)
		old.Signal(syscall.SIGTERM)
		c.Note("SIGTERM to process-0")
		if !old.AwaitEnd(4 * time.Second) {
			c.Fail("the old process did not end")
		}
		c.Note("process-0 has ended")
	}
	second := ride("second use")
	for _, r := range origin.Requests() {
		c.Note("the main store ran: class %s, object %s, request %s", r.Fields["lane"], r.Fields["name"], r.ID)
	}
	if runs := len(origin.Requests()); runs > 1 {
		c.Break("ride-end ran %d times with one token; the second use was answered %d", runs, second.Status)
	}
}
