package main

import (
	"bytes"
	"fmt"
	"time"

	"turnfork.dev/review/rig2"
)

// arrayLength has a cache spoil one answer in ten: the length of its array is one too low.
func arrayLength(c *rig2.Case) {
	cache, origin := c.NewStore("cache"), c.NewStore("origin")
	answers := 0
	cache.Answer = func(r rig2.Request) []byte {
		good := rig2.Good(r)
		if answers++; c.Trouble && answers%10 == 0 {
			c.Note("cache: request %s gets a spoilt answer", r.ID)
			return bytes.Replace(good, []byte("*4\r\n"), []byte("*3\r\n"), 1)
		}
		return good
	}
	addr := c.FreeAddr()
	config := c.Write("config.json", rig2.PlatformConfig("n1", addr, "", "", []rig2.Listed{
		{ID: "s-00000001", Addr: cache.Addr, Zone: "edge-1", Kind: "small-box", State: "Ready"},
		{ID: "s-00000002", Addr: origin.Addr, Zone: "north-hub", Kind: "origin", State: "Ready"},
	}))
	c.Gateway("n1", "", []string{"NODE_NAME=n1", "NODE_LISTEN=" + addr, "NODE_CONFIG=" + config, "TMPDIR=" + c.Dir})
	c.Until(10*time.Second, "the gateway is admitted", func() bool { return rig2.Healthy(addr) })
	front, err := rig2.Dial(addr)
	c.Must(err)
	defer front.Close()
	for i := range 60 {
		txn, object := fmt.Sprintf("%016x", 0xabc000+i), fmt.Sprintf("%016x", 0x7f3a9c21e0b40000+i)
		reply := <-front.Send(rig2.Params("firmware", txn, object, 0, 4000), "")
		want := rig2.StoreBody(object, "0")
		c.Note("request %s: status %d, %d bytes, those of the part: %t", txn, reply.Status, len(reply.Body), reply.Body == want)
		if reply.Status == 200 && reply.Body != want {
			c.Break("request %s was answered 'served' with %d bytes that no store made for it; the part has %d", txn, len(reply.Body), len(want))
		}
	}
}
