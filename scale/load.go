package scale

import (
	"cmp"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/internal/hollow"
	"turnfork.dev/turnfork/token"
)

// Load describes the operations that a run proposes.
type Load struct {
	Purges               float64       `json:"purges_per_s"`
	ChangesPerDay        float64       `json:"changes_per_day"`
	Burst                int           `json:"burst"` // configuration changes within one second, in the middle of the run
	Revocations          float64       `json:"revocations_per_s"`
	EndpointListInterval time.Duration `json:"store_interval"` // between changes of the endpoint list; 0: none
}

const (
	groupPurgeShare           = 0.02 // of the purges: purge a group of objects
	keyRingShare              = 0.2  // of the changes: replace the key ring
	policyShare               = 0.3  // of the changes: replace the policy; the remaining ones set names that gateways don't interpret
	keysPerRing               = 8
	keySecretBytes            = 32
	otherNameCount            = 200
	otherValueBytes           = 400
	endpointsPerChange        = 3
	burstDuration             = time.Second
	day                       = 24 * time.Hour
	groupKeyBit               = 1 << 63
	configKeyBits             = 1<<63 - 1
	initialPolicyTokenSeconds = 600
	policyLeewayRangeMs       = 300000
)

// PurgeKey returns the key by which a gateway's observer identifies a purge.
func PurgeKey(object uint64, group uint16) uint64 {
	if object == 0 {
		return groupKeyBit | uint64(group)
	}
	return object
}

// ConfigKey returns the key by which a gateway's observer identifies a configuration value: a hash of name and content.
func ConfigKey(name string, value []byte) uint64 {
	hash := xxhash.New()
	hash.WriteString(name)
	hash.Write([]byte{0})
	hash.Write(value)
	return hash.Sum64() & configKeyBits
}

// Operations generates the operations of a load for a duration, in chronological order. Equal seeds give equal operations.
func (l Load) Operations(duration time.Duration, seed uint64) []Operation {
	g := &generator{random: rand.New(rand.NewPCG(seed, 0)), groups: map[uint16]bool{}}
	var all []Operation
	all = append(all, g.poissonArrivals(l.Purges, duration, g.purge)...)
	all = append(all, g.poissonArrivals(l.ChangesPerDay/day.Seconds(), duration, g.change)...)
	all = append(all, g.poissonArrivals(l.Revocations, duration, g.revocation)...)
	for i := range l.Burst {
		operation := g.change()
		operation.Burst = true
		operation.At = duration/2 + time.Duration(i)*burstDuration/time.Duration(l.Burst)
		all = append(all, operation)
	}
	if l.EndpointListInterval > 0 {
		for at := l.EndpointListInterval / 2; at < duration; at += l.EndpointListInterval {
			operation := g.endpointChange()
			operation.At = at
			all = append(all, operation)
		}
	}
	slices.SortStableFunc(all, func(a, b Operation) int { return cmp.Compare(a.At, b.At) })
	return all
}

// generator generates operations with unique keys.
type generator struct {
	random *rand.Rand
	groups map[uint16]bool
	serial int
}

// poissonArrivals generates operations that arrive independently of each other at a mean rate (a Poisson process).
func (g *generator) poissonArrivals(perSecond float64, duration time.Duration, draw func() Operation) (out []Operation) {
	if perSecond <= 0 {
		return nil
	}
	mean := float64(time.Second) / perSecond
	for at := g.random.ExpFloat64() * mean; at < float64(duration); at += g.random.ExpFloat64() * mean {
		operation := draw()
		operation.At = time.Duration(at)
		out = append(out, operation)
	}
	return out
}

func (g *generator) purge() Operation {
	operation := Operation{Kind: distribution.KindPurge}
	if g.random.Float64() < groupPurgeShare {
		operation.Group = g.newGroup()
	} else {
		operation.Object = g.random.Uint64N(groupKeyBit-1) + 1
	}
	operation.Key = PurgeKey(operation.Object, operation.Group)
	return operation
}

// newGroup returns a random group that no earlier purge names, so that each purge has a unique key.
func (g *generator) newGroup() uint16 {
	for {
		group := uint16(g.random.Uint32())
		if group != 0 && !g.groups[group] {
			g.groups[group] = true
			return group
		}
	}
}

func (g *generator) change() Operation {
	g.serial++
	switch share := g.random.Float64(); {
	case share < keyRingShare:
		return newPut(signed.ConfigKeys, g.keyRing())
	case share < keyRingShare+policyShare:
		return newPut(signed.ConfigPolicy, signed.Policy{
			LeewayMs: float64(g.serial % policyLeewayRangeMs), TokenSeconds: initialPolicyTokenSeconds + float64(g.serial),
		})
	}
	name := fmt.Sprintf("notes/%03d", g.random.IntN(otherNameCount))
	return newPut(name, otherValue{Serial: g.serial, Text: base64.StdEncoding.EncodeToString(g.randomBytes(otherValueBytes * 3 / 4))})
}

// otherValue is the value of a configuration name that gateways store without interpreting it.
type otherValue struct {
	Serial int    `json:"serial"`
	Text   string `json:"text"`
}

func (g *generator) keyRing() (keys []token.Key) {
	for i := range keysPerRing {
		keys = append(keys, token.Key{
			ID: fmt.Sprintf("key-%d-%d", g.serial, i), Kind: "hmac", Secret: base64.StdEncoding.EncodeToString(g.randomBytes(keySecretBytes)),
		})
	}
	return keys
}

func (g *generator) randomBytes(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(g.random.Uint32())
	}
	return out
}

func (g *generator) endpointChange() Operation {
	var change hollow.EndpointChange
	for range endpointsPerChange {
		g.serial++
		change.Endpoints = append(change.Endpoints, hollow.EndpointEntry{
			ID: uint32(1 + g.random.IntN(hollow.DefaultEndpoints/2)), Addr: "127.0.0.1:9", Zone: 1, Weight: 1 + float64(g.serial)/1000,
		})
	}
	return newPut(hollow.ConfigEndpoints, change)
}

func (g *generator) revocation() Operation {
	g.serial++
	return Operation{Kind: distribution.KindRevoke, Name: fmt.Sprintf("try-url/%d", g.serial)}
}

// newPut returns an operation that sets a configuration name. The value must be of a type that JSON can encode.
func newPut(name string, value any) Operation {
	content, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("scale: a drawn value: %v", err))
	}
	return Operation{Kind: distribution.KindPut, Name: name, Value: content, Key: ConfigKey(name, content)}
}
