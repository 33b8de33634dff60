package config

import (
	"errors"
	"fmt"

	"turnfork.dev/turnfork/replica"
)

// Replica configures this gateway's member of the replicated store, or its subscription to the store's changes. Without
// members the store is local and in memory.
type Replica struct {
	ID         string           `toml:"id"`
	Subscriber bool             `toml:"subscribe"` // subscribe without voting: the members are the voters
	Joining    bool             `toml:"join"`      // join the existing group of the other members
	Dir        string           `toml:"dir"`
	Listen     string           `toml:"listen"`
	CA         string           `toml:"ca_file"`
	Cert       string           `toml:"cert_file"`
	Key        string           `toml:"key_file"`
	Members    []replica.Member `toml:"member"`
}

func (r Replica) check() error {
	if len(r.Members) == 0 {
		if r.Subscriber || r.Joining {
			return errors.New("replica.member: missing: a subscriber or a joining member needs voters")
		}
		return nil
	}
	rules := []rule{
		{"replica.id", present(r.ID)},
		{"replica.ca_file", present(r.CA)},
		{"replica.cert_file", present(r.Cert)},
		{"replica.key_file", present(r.Key)},
	}
	if r.Subscriber {
		rules = append(rules, r.subscriberRules()...)
	} else {
		rules = append(rules, r.voterRules()...)
	}
	return firstViolation(append(rules, r.memberRules()...))
}

func (r Replica) subscriberRules() []rule {
	return []rule{
		{"replica.join", require(!r.Joining, "a subscriber is not a member")},
		{"replica.dir", require(r.Dir == "", "a subscriber stores nothing on disk")},
		{"replica.listen", require(r.Listen == "", "a subscriber does not accept connections")},
	}
}

func (r Replica) voterRules() []rule {
	return []rule{
		{"replica.dir", present(r.Dir)},
		{addressField("replica.listen"), address(r.Listen)},
	}
}

func (r Replica) memberRules() []rule {
	var rules []rule
	for i, m := range r.Members {
		section := fmt.Sprintf("replica.member[%d].", i)
		rules = append(rules,
			rule{section + "id", present(m.ID)},
			rule{addressField(section + "addr"), address(m.Addr)},
		)
	}
	return rules
}
