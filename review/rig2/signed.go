package rig2

import (
	"fmt"
	"strings"
)

// Secret is the operator's secret of the signed frontends.
const Secret = "review-operator-secret"

// SignedFile returns an operator's file of a small deployment: two read classes and ride-end, one cache and the origin, and a key
// for signed URLs. more is appended.
func SignedFile(name, listen, console, cache, origin, more string) string {
	return fmt.Sprintf(`name = %q
listen = %q
console = %q
operator_secret = %q

[limits]
cores = 1
memory_mb = 192
sockets = 1024

[module]
flow_kb_per_s = 3400
gateways = 3

[[class]]
name = "firmware"
aim_ms = 600
aim_stretch = 2
deadline_ms = 5000
worth = 2

[[class]]
name = "app-assets"
aim_ms = 400
aim_stretch = 2
deadline_ms = 2500
worth = 1
fresh_s = 12

[[class]]
name = "ride-end"
aim_ms = 700
deadline_ms = 3000
worth = 3
write = true

[[store]]
id = 1
kind = "cache"
%s
weight = 12

[[store]]
id = 20
kind = "origin"
%s
weight = 20

[[key]]
id = "url-1"
kind = "hmac"
secret = "cmV2aWV3LXJldmlldy1yZXZpZXctcmV2aWV3LXJldmk="
`, name, listen, console, Secret, storeLine(cache), storeLine(origin)) + more
}

// storeLine returns the address of a store: a URL of an HTTP store, or the address of one that speaks the stores' protocol.
func storeLine(addr string) string {
	if strings.HasPrefix(addr, "http://") {
		return fmt.Sprintf("base = %q", addr)
	}
	return fmt.Sprintf("addr = %q", addr)
}

// Members returns the section of a voter.
func Members(id, dir string, ids, addrs []string) string {
	out := fmt.Sprintf("\n[replica]\nid = %q\ndir = %q\nca_file = \"ca.pem\"\ncert_file = \"member.pem\"\nkey_file = \"member.key\"\n", id, dir)
	var list strings.Builder
	for i := range ids {
		if ids[i] == id {
			out += fmt.Sprintf("listen = %q\n", addrs[i])
		}
		fmt.Fprintf(&list, "\n[[replica.member]]\nid = %q\naddr = %q\n", ids[i], addrs[i])
	}
	return out + list.String()
}
