package main

import (
	"time"

	"turnfork.dev/review/rig2"
)

// policyLost changes one value of the policy, kills and restarts a gateway, and changes another value there.
func policyLost(c *rig2.Case) {
	c.Certificates()
	cache, origin := c.NewStore("cache"), c.NewStore("origin")
	ids := []string{"phones-1", "phones-2", "phones-3"}
	var listens, consoles, members, files []string
	for range ids {
		listens, consoles, members = append(listens, c.FreeAddr()), append(consoles, c.FreeAddr()), append(members, c.FreeAddr())
	}
	for i := range ids {
		files = append(files, c.Write(ids[i]+".toml", rig2.SignedFile(ids[i], listens[i], consoles[i], cache.Addr, origin.Addr,
			rig2.Members(ids[i], "state-"+ids[i], ids, members))))
	}
	start := func(i int) *rig2.Process { return c.Gateway(ids[i], "-config "+files[i], nil) }
	ready := func(i int) {
		c.Until(10*time.Second, "the gateway is ready", func() bool { return rig2.Ready(consoles[i]) })
		c.Note("%s: says that it is ready", ids[i])
	}
	gateways := []*rig2.Process{start(0), start(1), start(2)}
	for i := range ids {
		ready(i)
	}
	set := func(i int, body string) {
		c.Until(10*time.Second, "the policy is agreed on", func() bool {
			reply, err := rig2.Call("POST", "http://"+listens[i]+"/-/policy", rig2.Secret, body, 5*time.Second)
			return err == nil && reply.Status == 200
		})
		c.Note("%s: POST /-/policy %s is answered with 200", ids[i], body)
	}
	// expired returns how many gateways serve a link 2 s after its end.
	expired := func() (served int) {
		token := c.Issue(listens[0], rig2.Secret, "hmac", "/v1/firmware/7f3a9c21e0b4d655/0", 1)
		time.Sleep(3 * time.Second)
		for i := range ids {
			reply, err := rig2.Call("GET", "http://"+listens[i]+token.URL, "", "", 5*time.Second)
			c.Must(err)
			c.Note("%s: answers a link that ended 2 s ago with %d", ids[i], reply.Status)
			if reply.Status == 200 {
				served++
			}
		}
		return served
	}
	set(0, `{"leeway_ms":0}`)
	time.Sleep(time.Second)
	if expired() > 0 {
		c.Fail("the leeway of 0 is not in force")
	}
	const victim = 2
	if c.Trouble {
		gateways[victim].Kill()
		c.Note("%s: killed", ids[victim])
		time.Sleep(5 * time.Second)
		gateways[victim] = start(victim)
		ready(victim)
	}
	set(victim, `{"token_seconds":3600}`)
	time.Sleep(2 * time.Second)
	served := expired()
	time.Sleep(5 * time.Second)
	served += expired()
	if served > 0 {
		c.Break("a leeway of 0 that was agreed on and in force is lost at the whole group: expired links were served %d times of 6", served)
	}
}
