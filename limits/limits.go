package limits

import (
	"net/netip"
	"sync"
)

// Limit holds the limits of each name of a kind. Zero values mean no limit.
type Limit struct {
	Requests    Rate
	Bytes       Rate // of responses
	MaxInFlight int  // requests in flight
}

func (l Limit) enabled() bool {
	return l.Requests.PerSecond > 0 || l.Bytes.PerSecond > 0 || l.MaxInFlight > 0
}

// Options configure the limits of a frontend.
type Options struct {
	Grant, Key, Client           Limit
	IPv4PrefixLen, IPv6PrefixLen int // prefix length that identifies a client; 0: 24 and 56
	MaxNames                     int // number of names that are tracked of each kind; 0: 65,536
}

// Subject holds the names that a request is limited by: its grant, its key (the tenant) and its client's prefix. Empty names are
// not limited.
type Subject struct{ Grant, Key, Client string }

// Limits limit the requests per second, the bytes per second and the requests in flight, by grant, key and client. A request
// passes all limits, or is rejected and charged to none.
type Limits struct {
	opt   Options
	kinds [3]kind
	inUse Gauge
}

type kind struct {
	name            string
	limit           Limit
	requests, bytes *Table
}

// New returns limits. Tables are allocated only for what is limited.
func New(opt Options) *Limits {
	if opt.IPv4PrefixLen == 0 {
		opt.IPv4PrefixLen = 24
	}
	if opt.IPv6PrefixLen == 0 {
		opt.IPv6PrefixLen = 56
	}
	if opt.MaxNames == 0 {
		opt.MaxNames = 1 << 16
	}
	l := &Limits{opt: opt, inUse: Gauge{open: map[string]int{}}}
	for i, k := range []Limit{opt.Grant, opt.Key, opt.Client} {
		l.kinds[i] = kind{name: []string{"grant", "key", "client"}[i], limit: k}
		if k.Requests.PerSecond > 0 {
			l.kinds[i].requests = NewTable(k.Requests, opt.MaxNames)
		}
		if k.Bytes.PerSecond > 0 {
			l.kinds[i].bytes = NewTable(k.Bytes, opt.MaxNames)
		}
	}
	return l
}

// Enabled reports whether anything is limited.
func (l *Limits) Enabled() bool {
	return l.opt.Grant.enabled() || l.opt.Key.enabled() || l.opt.Client.enabled()
}

// MemoryBytes returns the size of the tables.
func (l *Limits) MemoryBytes() (n int) {
	for _, k := range l.kinds {
		for _, t := range []*Table{k.requests, k.bytes} {
			if t != nil {
				n += t.MemoryBytes()
			}
		}
	}
	return n
}

// Client returns the prefix of an address by which a client is limited.
func (l *Limits) Client(a netip.Addr) string {
	bits := l.opt.IPv4PrefixLen
	if a.Is6() {
		bits = l.opt.IPv6PrefixLen
	}
	p, err := a.Prefix(bits)
	if err != nil {
		return a.String()
	}
	return p.String()
}

// Rejection states which limit rejected a request, and after how many ms a retry is worthwhile.
type Rejection struct {
	Limit      string // "grant", "key" or "client"
	RetryAfter float64
}

// busyRetryDelay is the delay, in ms, after which to retry when too many requests are in flight: it can't be predicted when one
// ends.
const busyRetryDelay = 1000

// Enter admits a request, or returns why it is rejected. Each admitted request must be released once.
func (l *Limits) Enter(w Subject, now float64) *Rejection {
	names := w.names()
	for i := range l.kinds {
		k, name := &l.kinds[i], names[i]
		if name == "" {
			continue
		}
		if wait := l.enter(k, name, now); wait > 0 {
			l.rollBack(names, i, now)
			return &Rejection{k.name, wait}
		}
	}
	return nil
}

// enter admits a request to one kind's limits, or returns after how many ms a retry is worthwhile.
func (l *Limits) enter(k *kind, name string, now float64) float64 {
	if wait := k.retryDelay(name, now); wait > 0 {
		return wait
	}
	if !l.inUse.Enter(k.name+"/"+name, k.limit.MaxInFlight) {
		return busyRetryDelay
	}
	ok, wait := k.requests.Take(name, 1, now) // a concurrent request may have taken the last token meanwhile
	if !ok {
		l.inUse.Release(k.name+"/"+name, k.limit.MaxInFlight)
	}
	return wait
}

func (w Subject) names() [3]string { return [3]string{w.Grant, w.Key, w.Client} }

// retryDelay returns after how many ms a name has a token in each table; 0: it has one now.
func (k *kind) retryDelay(name string, now float64) float64 {
	wait := 0.0
	for _, t := range []*Table{k.requests, k.bytes} {
		if t.Enabled() {
			if level := t.Level(name, now); level < 1 {
				wait = max(wait, (1-level)/t.rate.PerSecond*1000)
			}
		}
	}
	return wait
}

// rollBack undoes the admission to the kinds of an index less than before.
func (l *Limits) rollBack(names [3]string, before int, now float64) {
	for i := range before {
		if k := &l.kinds[i]; names[i] != "" {
			l.inUse.Release(k.name+"/"+names[i], k.limit.MaxInFlight)
			k.requests.Spend(names[i], -1, now)
		}
	}
}

// Release ends an admitted request, and charges the bytes of its response.
func (l *Limits) Release(w Subject, bytes, now float64) {
	for i, name := range w.names() {
		if k := &l.kinds[i]; name != "" {
			l.inUse.Release(k.name+"/"+name, k.limit.MaxInFlight)
			k.bytes.Spend(name, bytes, now)
		}
	}
}

// Gauge counts the requests in flight of each name. It holds only names that have any.
type Gauge struct {
	mu   sync.Mutex
	open map[string]int
}

// Enter counts a request and returns true, unless limit requests are in flight. With limit 0 nothing is counted.
func (g *Gauge) Enter(name string, limit int) bool {
	if limit <= 0 {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[name] >= limit {
		return false
	}
	g.open[name]++
	return true
}

// Release ends a request that was entered with the same limit.
func (g *Gauge) Release(name string, limit int) {
	if limit <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open[name]--; g.open[name] <= 0 {
		delete(g.open, name)
	}
}
