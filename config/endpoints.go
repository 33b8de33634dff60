package config

import (
	"errors"
	"fmt"

	"turnfork.dev/turnfork/upstream/httpstore"
)

// Endpoint is an endpoint: a cache, a parent or the origin.
type Endpoint struct {
	ID     uint32  `toml:"id"`
	Kind   string  `toml:"kind"` // cache, parent or origin
	Addr   string  `toml:"addr"` // of a RESP endpoint
	Base   string  `toml:"base"` // URL of an HTTP endpoint
	Signer string  `toml:"signer"`
	Weight float64 `toml:"weight"`
}

// NamedSigner holds credentials for signing the requests to HTTP endpoints.
type NamedSigner struct {
	Name string `toml:"name"`
	httpstore.Signer
	SecretKeyFile string `toml:"secret_key_file"`
}

// Kinds of endpoints in the file.
const (
	cacheKind  = "cache"
	parentKind = "parent"
	originKind = "origin"
)

// kindNumbers maps the kinds to their numbers in the decision module.
var kindNumbers = map[string]int{cacheKind: 0, parentKind: 1, originKind: 2}

func (o *Operator) checkSigners() error {
	for i := range o.Signers {
		s := &o.Signers[i]
		section := fmt.Sprintf("signer[%d].", i)
		if err := o.readSecret(section+"secret_key", &s.SecretKey, s.SecretKeyFile); err != nil {
			return err
		}
		if s.Name == "" || s.AccessKey == "" || s.SecretKey == "" || s.Region == "" || s.Service == "" {
			return fmt.Errorf("%sname, access_key, secret_key, region and service are all required", section)
		}
	}
	return nil
}

func (o *Operator) checkStores() error {
	if len(o.Endpoints) == 0 {
		return errors.New("store: none given")
	}
	var rules []rule
	usedIDs := map[uint32]bool{}
	for i, s := range o.Endpoints {
		section := fmt.Sprintf("store[%d].", i)
		_, knownKind := kindNumbers[s.Kind]
		validID := s.ID != 0 && !usedIDs[s.ID]
		usedIDs[s.ID] = true
		validSigner := s.Signer == "" || o.signer(s.Signer) != nil
		rules = append(rules,
			rule{section + "kind", require(knownKind, "%q is not cache, parent or origin", s.Kind)},
			rule{section + "id", require(validID, "%d is 0 or a duplicate", s.ID)},
			s.addressRule(section),
			rule{section + "signer", require(validSigner, "no signer named %q", s.Signer)},
		)
	}
	return firstViolation(rules)
}

// addressRule requires exactly one address, in the form of the endpoint's protocol.
func (s Endpoint) addressRule(section string) rule {
	switch {
	case (s.Addr == "") == (s.Base == ""):
		return rule{section + "addr", errors.New("exactly one of addr and base is required")}
	case s.Addr != "":
		return rule{addressField(section + "addr"), address(s.Addr)}
	default:
		return rule{section + "base", httpstore.Endpoint{Base: s.Base}.Check()}
	}
}

// signer returns a copy of the last signer with a name; nil if there is none.
func (o *Operator) signer(name string) *httpstore.Signer {
	for i := len(o.Signers) - 1; i >= 0; i-- {
		if o.Signers[i].Name == name {
			found := o.Signers[i].Signer
			return &found
		}
	}
	return nil
}

// HTTPEndpoints returns the HTTP endpoints by ID.
func (o *Operator) HTTPEndpoints() map[uint32]httpstore.Endpoint {
	endpoints := map[uint32]httpstore.Endpoint{}
	for _, s := range o.Endpoints {
		if s.Base == "" {
			continue
		}
		endpoint := httpstore.Endpoint{Base: s.Base}
		if s.Signer != "" {
			endpoint.Signer = o.signer(s.Signer)
		}
		endpoints[s.ID] = endpoint
	}
	return endpoints
}
