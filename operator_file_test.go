package turnfork

import (
	"encoding/base64"
	"fmt"
	"strings"
)

// Parts of the operators' files of tests.

// anyAddress has a gateway listen on a port of its own.
const anyAddress = "listen = \"127.0.0.1:0\"\n"

// classText names a class with its settings.
func classText(name string, settings ...string) string {
	return fmt.Sprintf("[[class]]\nname = %q\n%s\n", name, strings.Join(settings, "\n"))
}

// storesText names a cache and an origin, both played by one stand-in.
func storesText(addr string) string {
	return storeText(1, "cache", addr) + storeText(2, "origin", addr)
}

func storeText(id int, kind, addr string) string {
	return fmt.Sprintf("[[store]]\nid = %d\nkind = %q\naddr = %q\n", id, kind, addr)
}

// hmacKeyText names a key of URLs.
func hmacKeyText(id, secret string) string {
	return fmt.Sprintf("[[key]]\nid = %q\nkind = \"hmac\"\nsecret = %q\n", id, secret)
}

// urlSecret is the secret of the key "url" in tests.
var urlSecret = base64.StdEncoding.EncodeToString([]byte(strings.Repeat("k", 32)))
