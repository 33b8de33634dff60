package main

import (
	"fmt"
	"strconv"
	"time"

	"turnfork.dev/review/rig2"
)

// httpPurge purges objects of which an HTTP cache holds a copy that is half a second older than the purge.
func httpPurge(c *rig2.Case) {
	cache, origin := c.NewHTTPCache(time.Hour), c.NewStore("origin")
	listen, console := c.FreeAddr(), c.FreeAddr()
	file := c.Write("gateway.toml", rig2.SignedFile("phones-1", listen, console, cache.URL, origin.Addr, ""))
	c.Gateway("phones-1", "-config "+file, nil)
	c.Until(6*time.Second, "the gateway is ready", func() bool { return rig2.Ready(console) })
	for i := range 10 {
		object := fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+i)
		token := c.Issue(listen, rig2.Secret, "hmac", "/v1/firmware/"+object+"/0", 600)
		get := func() (minted int64) {
			reply, err := rig2.Call("GET", "http://"+listen+token.URL, "", "", 6*time.Second)
			c.Must(err)
			if reply.Status != 200 {
				c.Note("object %s: answer %d", object, reply.Status)
				return 0
			}
			minted, err = strconv.ParseInt(reply.Body, 10, 64)
			c.Must(err)
			return minted
		}
		first := get()
		c.Note("object %s: filled, the copy is of %d", object, first)
		time.Sleep(500 * time.Millisecond)
		asked := time.Now()
		if c.Trouble {
			reply, err := rig2.Call("POST", "http://"+listen+"/-/purges", rig2.Secret, fmt.Sprintf(`{"object":%q}`, object), 5*time.Second)
			c.Must(err)
			if reply.Status != 200 {
				c.Fail("the purge was answered %d %s", reply.Status, reply.Body)
			}
			c.Note("object %s: purged at %d", object, asked.UnixMilli())
		}
		told := time.Now()
		time.Sleep(time.Duration(1100+50*i) * time.Millisecond) // the rule binds from 1.05 s on
		sent := time.Now()
		minted := get()
		c.Note("object %s: asked %d ms after the purge was told, the copy is of %d", object, sent.Sub(told).Milliseconds(), minted)
		if c.Trouble && minted > 0 && minted < asked.UnixMilli() {
			c.Break("object %s: %d ms after the purge was told the answer came from a copy %d ms older than the purge", object,
				sent.Sub(told).Milliseconds(), asked.UnixMilli()-minted)
		}
	}
}
