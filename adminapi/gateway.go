package adminapi

import (
	"context"
	"errors"
	"strconv"
	"strings"
)

// ErrUnknownEndpoint is returned for an endpoint that has not been in any endpoint list.
var ErrUnknownEndpoint = errors.New("no list has named this store")

var errMalformedID = errors.New("malformed endpoint id")

// Gateway carries out the admin calls. Each method except State is idempotent, and returns nil only once the requested state is
// in effect.
type Gateway interface {
	// State returns the gateway's current state, which is the body of every successful response.
	State() State
	// SetDisabled excludes an endpoint if on is true, and readmits it otherwise.
	SetDisabled(ctx context.Context, id uint32, on bool) error
	// SetDraining drains the gateway if on is true, and ends the drain otherwise.
	SetDraining(ctx context.Context, on bool) error
}

// State is the gateway's state as the admin API reports it. Its JSON field names are stable.
type State struct {
	Ready           bool     `json:"ready"`
	NotReadyReasons []string `json:"why,omitempty"` // reasons why the gateway is not ready
	Draining        bool     `json:"draining"`
	Disabled        []string `json:"disabled"` // endpoints excluded by operators
	OpenRequests    int      `json:"open"`     // requests in flight
	// Durable reports whether every override in force would survive a kill and restart.
	Durable bool `json:"durable"`
	// Storage lists the errors of files that can't be written at present. Requests that need no disk are served nevertheless.
	Storage []string `json:"storage,omitempty"`
	// Processes is the number of live processes: two while one replaces the other.
	Processes int `json:"processes"`
	// Subscription is the gateway's position in the replicated state; nil: this gateway has none.
	Subscription *Subscription `json:"subscription,omitempty"`
}

// Subscription is the gateway's position in the replicated state.
type Subscription struct {
	Fresh        bool    `json:"fresh"`
	AgeMS        float64 `json:"age_ms"` // time since the state was last known to be complete; -1: never
	MaxCopyAgeMS float64 `json:"max_copy_age_ms"`
	Revision     uint64  `json:"revision"`
	IsVoter      bool    `json:"votes,omitempty"`
	Voter        string  `json:"voter,omitempty"` // voter that a non-voting gateway subscribes to; "": none
	Reconnects   uint64  `json:"reconnects"`
}

// ParseID parses an endpoint ID: "s-" and 8 hexadecimal digits.
func ParseID(text string) (uint32, error) {
	digits, ok := strings.CutPrefix(text, "s-")
	id, err := strconv.ParseUint(digits, 16, 32)
	if !ok || len(digits) != 8 || err != nil {
		return 0, errMalformedID
	}
	return uint32(id), nil
}
