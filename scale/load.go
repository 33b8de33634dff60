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

// Load is what a run proposes.
type Load struct {
	Purges        float64       `json:"purges_per_s"`
	ChangesPerDay float64       `json:"changes_per_day"`
	Burst         int           `json:"burst"` // changes within a second, in the middle of the run
	Revocations   float64       `json:"revocations_per_s"`
	StoreInterval time.Duration `json:"store_interval"` // between changes of the store list; 0: none
}

const (
	groupPurgeShare           = 0.02 // of the purges, that void a whole group
	keyRingShare              = 0.2  // of the changes, that replace the key ring
	policyShare               = 0.3  // of the changes, that replace the policy; the others are of names that gateways keep
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

// PurgeKey identifies a purge where it comes into force.
func PurgeKey(object uint64, group uint16) uint64 {
	if object == 0 {
		return groupKeyBit | uint64(group)
	}
	return object
}

// ConfigKey identifies a piece of configuration by its content.
func ConfigKey(name string, value []byte) uint64 {
	hash := xxhash.New()
	hash.WriteString(name)
	hash.Write([]byte{0})
	hash.Write(value)
	return hash.Sum64() & configKeyBits
}

// Operations draws what a load proposes for a duration, in the order of time. The same seed gives the same operations.
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
	if l.StoreInterval > 0 {
		for at := l.StoreInterval / 2; at < duration; at += l.StoreInterval {
			operation := g.endpointChange()
			operation.At = at
			all = append(all, operation)
		}
	}
	slices.SortStableFunc(all, func(a, b Operation) int { return cmp.Compare(a.At, b.At) })
	return all
}

// drawing draws operations that are all different.
type generator struct {
	random *rand.Rand
	groups map[uint16]bool
	serial int
}

// arrivals draws operations that arrive independently of each other at a rate.
func (d *generator) poissonArrivals(perSecond float64, duration time.Duration, draw func() Operation) (out []Operation) {
	if perSecond <= 0 {
		return nil
	}
	mean := float64(time.Second) / perSecond
	for at := d.random.ExpFloat64() * mean; at < float64(duration); at += d.random.ExpFloat64() * mean {
		operation := draw()
		operation.At = time.Duration(at)
		out = append(out, operation)
	}
	return out
}

func (d *generator) purge() Operation {
	operation := Operation{Kind: distribution.KindPurge}
	if d.random.Float64() < groupPurgeShare {
		operation.Group = d.newGroup()
	} else {
		operation.Object = d.random.Uint64N(groupKeyBit-1) + 1
	}
	operation.Key = PurgeKey(operation.Object, operation.Group)
	return operation
}

// newGroup draws a group that no earlier purge names, so that each purge has a key of its own.
func (d *generator) newGroup() uint16 {
	for {
		group := uint16(d.random.Uint32())
		if group != 0 && !d.groups[group] {
			d.groups[group] = true
			return group
		}
	}
}

func (d *generator) change() Operation {
	d.serial++
	switch share := d.random.Float64(); {
	case share < keyRingShare:
		return newPut(signed.ConfigKeys, d.keyRing())
	case share < keyRingShare+policyShare:
		return newPut(signed.ConfigPolicy, signed.Policy{
			LeewayMs: float64(d.serial % policyLeewayRangeMs), TokenSeconds: initialPolicyTokenSeconds + float64(d.serial),
		})
	}
	name := fmt.Sprintf("notes/%03d", d.random.IntN(otherNameCount))
	return newPut(name, otherValue{Serial: d.serial, Text: base64.StdEncoding.EncodeToString(d.randomBytes(otherValueBytes * 3 / 4))})
}

// otherValue is the value of a name that gateways keep without reading it.
type otherValue struct {
	Serial int    `json:"serial"`
	Text   string `json:"text"`
}

func (d *generator) keyRing() (keys []token.Key) {
	for i := range keysPerRing {
		keys = append(keys, token.Key{
			ID: fmt.Sprintf("key-%d-%d", d.serial, i), Kind: "hmac", Secret: base64.StdEncoding.EncodeToString(d.randomBytes(keySecretBytes)),
		})
	}
	return keys
}

func (d *generator) randomBytes(n int) []byte {
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(d.random.Uint32())
	}
	return out
}

func (d *generator) endpointChange() Operation {
	var change hollow.StoreChange
	for range endpointsPerChange {
		d.serial++
		change.Stores = append(change.Stores, hollow.StoreEntry{
			ID: uint32(1 + d.random.IntN(hollow.DefaultStores/2)), Addr: "127.0.0.1:9", Zone: 1, Weight: 1 + float64(d.serial)/1000,
		})
	}
	return newPut(hollow.ConfigStores, change)
}

func (d *generator) revocation() Operation {
	d.serial++
	return Operation{Kind: distribution.KindRevoke, Name: fmt.Sprintf("try-url/%d", d.serial)}
}

// put words a change of configuration. Its values are of types that JSON has.
func newPut(name string, value any) Operation {
	content, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("scale: a drawn value: %v", err))
	}
	return Operation{Kind: distribution.KindPut, Name: name, Value: content, Key: ConfigKey(name, content)}
}
