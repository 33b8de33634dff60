package config

import (
	"fmt"
	"net/url"
	"strings"

	"turnfork.dev/turnfork/token"
)

// CORS configures which requests pages of other origins may send to the signed frontend.
type CORS struct {
	Origins []string `toml:"origins"` // such as https://app.example; a single "*" allows any
	Headers []string `toml:"headers"`
	MaxAgeS int      `toml:"max_age_s"`
}

const (
	maxCORSEntries = 64
	maxCORSAgeS    = 24 * 60 * 60
	anyOrigin      = "*"
)

func (c CORS) check() error {
	fewEnough := len(c.Origins) <= maxCORSEntries && len(c.Headers) <= maxCORSEntries
	rules := []rule{
		{"cors.origins", require(fewEnough, "at most %d, and as many headers", maxCORSEntries)},
		{"cors.max_age_s", within(c.MaxAgeS, 0, maxCORSAgeS)},
	}
	for i, origin := range c.Origins {
		valid := isOrigin(origin) || origin == anyOrigin && len(c.Origins) == 1
		rules = append(rules, rule{fmt.Sprintf("cors.origins[%d]", i), require(valid, "%q is not an origin", origin)})
	}
	for i, header := range c.Headers {
		valid := token.Canonical("/" + header)
		rules = append(rules, rule{fmt.Sprintf("cors.headers[%d]", i), require(valid, "%q is not a header name", header)})
	}
	return firstViolation(rules)
}

// isOrigin reports whether a text consists of a scheme and a host in lower case only.
func isOrigin(text string) bool {
	u, err := url.Parse(text)
	if err != nil || u.Scheme == "" || u.Host == "" {
		return false
	}
	return u.Scheme+"://"+u.Host == text && strings.ToLower(text) == text
}
