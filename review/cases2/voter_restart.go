package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"syscall"
	"time"

	"turnfork.dev/review/rig2"
)

const newKey = `[{"id":"url-2","kind":"hmac","secret":"bmV3LWtleS1uZXcta2V5LW5ldy1rZXktbmV3LWtleS0="}]`

// forge signs a URL with the key of an operator's file, as one does who has stolen it.
func forge(c *rig2.Case, file, uri string) string {
	out, err := exec.Command("bin/turnfork", "token", "issue", "-config", file, "-uri", uri, "-seconds", "600").Output()
	c.Must(err)
	var t rig2.Issued
	c.Must(json.Unmarshal(out, &t))
	return t.URL
}

// voterRestart replaces the keys of three gateways, waits until all refuse what is signed with the old one, and kills and
// restarts one of them.
func voterRestart(c *rig2.Case) {
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
	gateways := []*rig2.Process{start(0), start(1), start(2)}
	for i := range ids {
		c.Until(10*time.Second, "the gateways are ready", func() bool { return rig2.Ready(consoles[i]) })
	}
	link := forge(c, files[0], "/v1/firmware/7f3a9c21e0b4d655/0")
	var rides []string
	for i := range 60 {
		rides = append(rides, forge(c, files[0], fmt.Sprintf("/v1/ride-end/%016x/0", 0xe100+i)))
	}
	call := func(method string, i int, url string) int {
		reply, err := rig2.Call(method, "http://"+listens[i]+url, "", "", 4*time.Second)
		if err != nil {
			return 0
		}
		return reply.Status
	}
	for i := range ids {
		c.Until(10*time.Second, "the old key's links are served at first", func() bool { return call("GET", i, link) == 200 })
	}
	c.Until(10*time.Second, "the new keys are acknowledged", func() bool {
		reply, err := rig2.Call("POST", "http://"+listens[0]+"/-/keys", rig2.Secret, newKey, 5*time.Second)
		return err == nil && reply.Status == 200
	})
	c.Note("the replacement of key url-1 by url-2 was answered with 200")
	for i := range ids {
		c.Until(5*time.Second, "every gateway refuses the old key", func() bool { return call("GET", i, link) == 403 })
		c.Note("%s: refuses a link signed with url-1 with 403", ids[i])
	}
	const victim = 2
	if c.Trouble {
		gateways[victim].Signal(syscall.SIGKILL)
		gateways[victim].AwaitEnd(5 * time.Second)
		c.Note("%s: killed", ids[victim])
		time.Sleep(5 * time.Second)
		gateways[victim] = start(victim)
	}
	served, ran := 0, 0
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		read := call("GET", victim, link)
		if read == 200 {
			served++
			c.Note("%s: serves a link that is signed with the old key", ids[victim])
		}
		if read == 0 || read == 403 || len(rides) == 0 {
			continue
		}
		write := call("POST", victim, rides[0])
		rides = rides[1:]
		c.Note("%s: answers a ride-end signed with the old key with %d", ids[victim], write)
		if write == 200 {
			ran++
		}
	}
	c.Note("%s: the last answer to the link was %d", ids[victim], call("GET", victim, link))
	runs := 0
	for _, r := range origin.Requests() {
		if r.Fields["lane"] == "ride-end" {
			runs++
			c.Note("the main store ran ride-end for object %s", r.Fields["name"])
		}
	}
	if served+runs > 0 {
		c.Break("%d links and %d rides signed with a key that all gateways had refused were served after the restart of one", served, runs)
	}
}
