// Command toystore runs a fake cache and a fake origin for trying out the gateway. Objects are generated, the cache remembers in
// memory which ones it was filled with, and "ride-end" requests are counted.
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"os/signal"
	"sync"
	"time"

	"turnfork.dev/turnfork/internal/fakestore"
)

func main() {
	cache := flag.String("cache", "127.0.0.1:5051", "address of the cache")
	origin := flag.String("origin", "127.0.0.1:5052", "address of the origin")
	flag.Parse()

	var mu sync.Mutex
	cachedSince, ridesEnded := map[string]time.Time{}, 0
	respond := func(c fakestore.Command, why string, at time.Time) (string, string, []byte, bool) {
		fields := fmt.Sprintf("tag=%016x,minted=%d,why=%s", at.UnixMilli(), at.UnixMilli(), why)
		log.Printf("%s %s %s/%s: %s", c.Verb, c.Fields["lane"], c.Fields["name"], c.Fields["piece"], why)
		return "ACK", fields, fmt.Appendf(nil, "%s %s, part %s\n", c.Fields["lane"], c.Fields["name"], c.Fields["piece"]), true
	}
	fromOrigin := func(c fakestore.Command, why string) (string, string, []byte, bool) {
		if c.Fields["lane"] == "ride-end" {
			ridesEnded++
			log.Printf("rides ended: %d", ridesEnded)
		}
		return respond(c, why, time.Now())
	}
	cacheEndpoint, err := fakestore.Listen(*cache, func(c fakestore.Command) (string, string, []byte, bool) {
		mu.Lock()
		defer mu.Unlock()
		key := c.Fields["name"] + "/" + c.Fields["piece"]
		if at, ok := cachedSince[key]; ok && c.Fields["lane"] != "ride-end" {
			return respond(c, "local", at)
		}
		if c.Fields["via"] == "" {
			return "NOENT", "-", nil, true
		}
		if c.Fields["tier"] != "" && len(cachedSince) < 10000 {
			cachedSince[key] = time.Now()
		}
		return fromOrigin(c, "pulled_far")
	})
	if err != nil {
		log.Fatal(err)
	}
	originEndpoint, err := fakestore.Listen(*origin, func(c fakestore.Command) (string, string, []byte, bool) {
		mu.Lock()
		defer mu.Unlock()
		return fromOrigin(c, "local")
	})
	if err != nil {
		log.Fatal(err)
	}
	log.Printf("cache listening on %s, origin listening on %s", cacheEndpoint.Addr(), originEndpoint.Addr())
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt)
	<-interrupted
	cacheEndpoint.Close()
	originEndpoint.Close()
}
