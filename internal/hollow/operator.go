package hollow

import (
	"fmt"
	"strings"

	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/replica"
)

// DefaultEndpoints is the number of endpoints that a gateway of the full deployment is configured with.
const DefaultEndpoints = 560

// parentInterval is the distance between parents in the endpoint list. The last endpoint is the origin.
const parentInterval = 20

// OperatorText returns an operator configuration with the given number of endpoints, in the format of a production
// gateway. Nothing listens at the endpoints' address, as a hollow gateway doesn't connect to them.
func OperatorText(endpoints int) string {
	var text strings.Builder
	text.WriteString(`name = "hollow"
listen = "127.0.0.1:0"

[module]
flow_kb_per_s = 3400

[[class]]
name = "firmware"
aim_ms = 600
aim_stretch = 2
deadline_ms = 5000
worth = 2

[[class]]
name = "ride-end"
aim_ms = 700
deadline_ms = 3000
worth = 3
write = true

[[key]]
id = "try-url"
kind = "hmac"
secret = "dHJ5LWl0LXRyeS1pdC10cnktaXQtdHJ5LWl0LXRyeSE="
`)
	for i := range endpoints {
		fmt.Fprintf(&text, "\n[[store]]\nid = %d\nkind = %q\naddr = \"127.0.0.1:9\"\n", i+1, endpointKind(i, endpoints))
	}
	return text.String()
}

func endpointKind(i, endpoints int) string {
	switch {
	case i == endpoints-1:
		return "origin"
	case i%parentInterval == parentInterval-1:
		return "parent"
	}
	return "cache"
}

// Names of the TLS files that SubscriptionText refers to, relative to the operator configuration.
const (
	AuthorityFile   = "ca.pem"
	CertificateFile = "cert.pem"
	KeyFile         = "key.pem"
)

// SubscriptionText returns the part of an operator configuration that makes a gateway subscribe to voters.
func SubscriptionText(name string, voters []replica.Member) string {
	var text strings.Builder
	fmt.Fprintf(&text, "\n[replica]\nid = %q\nsubscribe = true\nca_file = %q\ncert_file = %q\nkey_file = %q\n",
		name, AuthorityFile, CertificateFile, KeyFile)
	for _, voter := range voters {
		fmt.Fprintf(&text, "\n[[replica.member]]\nid = %q\naddr = %q\n", voter.ID, voter.Addr)
	}
	return text.String()
}

// DeriveOperator returns a copy of an operator configuration with another gateway name and other voters. The remaining parsed
// settings are shared between both.
func DeriveOperator(operator *config.Operator, name string, voters []replica.Member) *config.Operator {
	derived := *operator
	derived.Replica.ID, derived.Replica.Members = name, voters
	return &derived
}
