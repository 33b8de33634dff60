package turnfork

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// Parts of the operators' files of tests.

// anyAddress has a gateway listen on a port of its own.
const anyPortConfig = "listen = \"127.0.0.1:0\"\n"

// classText names a class with its settings.
func classConfig(name string, settings ...string) string {
	return fmt.Sprintf("[[class]]\nname = %q\n%s\n", name, strings.Join(settings, "\n"))
}

// storesText names a cache and an origin, both played by one stand-in.
func endpointsConfig(addr string) string {
	return endpointConfig(1, "cache", addr) + endpointConfig(2, "origin", addr)
}

func endpointConfig(id int, kind, addr string) string {
	return fmt.Sprintf("[[store]]\nid = %d\nkind = %q\naddr = %q\n", id, kind, addr)
}

// hmacKeyText names a key of URLs.
func hmacKeyConfig(id, secret string) string {
	return fmt.Sprintf("[[key]]\nid = %q\nkind = \"hmac\"\nsecret = %q\n", id, secret)
}

// urlSecret is the secret of the key "url" in tests.
var urlSecret = base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
