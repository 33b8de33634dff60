package config

import (
	"errors"
	"fmt"

	"turnfork.dev/turnfork/token"
)

// Class is one class of requests. Some keys of the file differ from the fields: aim_ms is the latency objective, worth the
// priority weight, late_worth the value of a response after the objective, and unsafe marks requests that must not run twice.
type Class struct {
	Name               string  `toml:"name"`
	LatencyObjectiveMs float64 `toml:"aim_ms"`
	ObjectiveStretch   float64 `toml:"aim_stretch"`
	DeadlineMs         float64 `toml:"deadline_ms"`
	PriorityWeight     float64 `toml:"worth"`
	LateValue          float64 `toml:"late_worth"`
	FreshForS          float64 `toml:"fresh_s"`
	Write              bool    `toml:"write"`
	NonIdempotent      bool    `toml:"unsafe"`
}

const deadlineUpperBoundMs = 1e7 // exclusive

func (o *Operator) checkClasses() error {
	if len(o.Classes) == 0 {
		return errors.New("class: none given")
	}
	var rules []rule
	for i, c := range o.Classes {
		section := fmt.Sprintf("class[%d].", i)
		validName := c.Name != "" && token.Canonical("/"+c.Name)
		validDeadline := c.DeadlineMs > 0 && c.DeadlineMs < deadlineUpperBoundMs
		rules = append(rules,
			rule{section + "name", require(validName, "%q is not a valid path segment", c.Name)},
			rule{section + "deadline_ms", require(validDeadline, "%v is not above 0 and below 1e7", c.DeadlineMs)},
		)
	}
	return firstViolation(rules)
}
