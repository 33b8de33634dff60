package turnfork

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// Parts of operators' files for tests.

// anyPortConfig makes a gateway listen on a port chosen by the system.
const anyPortConfig = "listen = \"127.0.0.1:0\"\n"

// classConfig returns the section of a class with its settings.
func classConfig(name string, settings ...string) string {
	return fmt.Sprintf("[[class]]\nname = %q\n%s\n", name, strings.Join(settings, "\n"))
}

// endpointsConfig returns the sections of a cache and an origin, both simulated by one server.
func endpointsConfig(addr string) string {
	return endpointConfig(1, "cache", addr) + endpointConfig(2, "origin", addr)
}

func endpointConfig(id int, kind, addr string) string {
	return fmt.Sprintf("[[store]]\nid = %d\nkind = %q\naddr = %q\n", id, kind, addr)
}

// hmacKeyConfig returns the section of an HMAC key for signed URLs.
func hmacKeyConfig(id, secret string) string {
	return fmt.Sprintf("[[key]]\nid = %q\nkind = \"hmac\"\nsecret = %q\n", id, secret)
}

// urlSecret is the secret of the key "url" in tests.
var urlSecret = base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
