package config

import "turnfork.dev/turnfork/limits"

// RateLimits are the limits for clients of the signed frontend. A limit that is not set does not apply.
type RateLimits struct {
	Grant        RateLimit `toml:"grant"`
	Key          RateLimit `toml:"key"`
	Client       RateLimit `toml:"client"`
	ClientV4Bits int       `toml:"client_v4_bits"` // prefix length that identifies a client; 0: 24
	ClientV6Bits int       `toml:"client_v6_bits"` // 0: 56
	Names        int       `toml:"names"`          // grants, keys and clients tracked at most, of each; 0: 65,536
}

// RateLimit is the limit for each single grant, key or client.
type RateLimit struct {
	PerSecond     float64 `toml:"per_second"`
	Burst         float64 `toml:"burst"` // 0: the requests of one second
	KBps          float64 `toml:"kb_per_s"`
	MaxConcurrent int     `toml:"at_once"`
}

const (
	maxIPv4Bits    = 32
	maxIPv6Bits    = 128
	maxLimitNames  = 1 << 22
	rateUpperBound = 1e9 // exclusive
)

// Options converts the section to the limiter's options.
func (l RateLimits) Options() limits.Options {
	return limits.Options{
		Grant:         l.Grant.limit(),
		Key:           l.Key.limit(),
		Client:        l.Client.limit(),
		IPv4PrefixLen: l.ClientV4Bits,
		IPv6PrefixLen: l.ClientV6Bits,
		MaxNames:      l.Names,
	}
}

func (l RateLimit) limit() limits.Limit {
	return limits.Limit{
		Requests:    limits.Rate{PerSecond: l.PerSecond, Burst: l.Burst},
		Bytes:       limits.Rate{PerSecond: l.KBps * 1000},
		MaxInFlight: l.MaxConcurrent,
	}
}

func (l RateLimits) check() error {
	rules := l.Grant.rules("limit.grant")
	rules = append(rules, l.Key.rules("limit.key")...)
	rules = append(rules, l.Client.rules("limit.client")...)
	rules = append(rules,
		rule{"limit.client_v4_bits", within(l.ClientV4Bits, 0, maxIPv4Bits)},
		rule{"limit.client_v6_bits", within(l.ClientV6Bits, 0, maxIPv6Bits)},
		rule{"limit.names", require(l.Names >= 0 && l.Names <= maxLimitNames, "%d is not within 0 to 4,194,304", l.Names)},
	)
	return firstViolation(rules)
}

func (l RateLimit) rules(section string) []rule {
	return []rule{
		{section + ".per_second", validRate(l.PerSecond)},
		{section + ".burst", validRate(l.Burst)},
		{section + ".kb_per_s", validRate(l.KBps)},
		{section + ".at_once", validRate(float64(l.MaxConcurrent))},
	}
}

func validRate(v float64) error {
	return require(v >= 0 && v < rateUpperBound, "%v is not at least 0 and below 1e9", v)
}
