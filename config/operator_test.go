package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// writeSecrets writes the secrets that the operator's files in deploy/ refer to.
func writeSecrets(t *testing.T, dir string) {
	t.Helper()
	if err := os.Mkdir(filepath.Join(dir, "secrets"), 0o700); err != nil {
		t.Fatal(err)
	}
	for name, content := range map[string]string{
		"operator": "a secret of the operator", "main-store": "s", "url-1": "a2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s=",
		"pack-1.pem": testKey,
	} {
		if err := os.WriteFile(filepath.Join(dir, "secrets", name), []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// The operator's files of deploy/ and of the example are accepted, and the error for an invalid field names it.
func TestOperator(t *testing.T) {
	if _, err := LoadOperator("../example/signed.toml"); err != nil {
		t.Error(err)
	}
	text, err := os.ReadFile("../deploy/signed.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	if _, err := ParseOperator(string(text), dir); err == nil || !strings.Contains(err.Error(), "operator_secret_file") {
		t.Errorf("without its secrets: %v", err)
	}
	writeSecrets(t, dir)
	o, err := ParseOperator(string(text), dir)
	if err != nil {
		t.Fatal(err)
	}
	n := o.Node(1)
	if len(o.HTTPEndpoints()) != 1 || o.HTTPEndpoints()[20].Signer == nil || len(n.Classes) != 3 || !n.Settings.Classes[2].Write {
		t.Errorf("%+v", n)
	}
	for change, field := range map[string]string{
		`leeway_s = 10|leeway_s = -1`:                  "leeway_s",
		"leeway_s = 10|leeway_s = 10\ntrace_share = 2": "trace_share",
		`scheme = "https"|scheme = "gopher"`:           "scheme",
		`kind = "parent"|kind = "uncle"`:               "store[2].kind",
		`id = 10|id = 1`:                               "store[2].id",
		`signer = "main-store"|signer = "x"`:           "store[3].signer",
		`alg = "ES256"|alg = "none"`:                   "key[1].alg",
		`alg = "ES256"|alg = "EdDSA"`:                  "key[1].private",
		`deadline_ms = 2500|deadline_ms = 0`:           "class[1].deadline_ms",
		`[limits]|[limit]`:                             "limit",
		`listen = "127.0.0.1:7001"|listen = "7001"`:    "replica.listen",
		`base = "http://127.0.0.1:9000|base = "ftp://`: "store[3].base",
	} {
		t.Run(change, func(t *testing.T) {
			old, new, _ := strings.Cut(change, "|")
			if !strings.Contains(string(text), old) {
				t.Fatalf("%q is not in the file", old)
			}
			if _, err := ParseOperator(strings.Replace(string(text), old, new, 1), dir); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s: %v", change, err)
			}
		})
	}
}

// A subscriber's file must name the voters, and must not have fields that only voters use.
func TestSubscriberFile(t *testing.T) {
	text, err := os.ReadFile("../deploy/subscriber.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	writeSecrets(t, dir)
	o, err := ParseOperator(string(text), dir)
	if err != nil || !o.Replica.Subscriber || len(o.Replica.Members) != 5 {
		t.Fatalf("%v, %+v", err, o)
	}
	voters := string(text)[strings.Index(string(text), "[[replica.member]]"):]
	for change, field := range map[string]string{
		"subscribe = true|subscribe = true\nlisten = \"127.0.0.1:7009\"": "replica.listen",
		"subscribe = true|subscribe = true\ndir = \"state\"":             "replica.dir",
		"subscribe = true|subscribe = true\njoin = true":                 "replica.join",
		"subscribe = true|subscribe = false":                             "replica.dir",
		"key_file = \"secrets/gateway.key\"|":                            "replica.key_file",
		voters + "|":                                                     "replica.member",
		"addr = \"127.0.0.1:7005\"|addr = \"7005\"":                      "replica.member[4].addr",
	} {
		t.Run(change, func(t *testing.T) {
			old, new, _ := strings.Cut(change, "|")
			if !strings.Contains(string(text), old) {
				t.Fatalf("%q is not in the file", old)
			}
			if _, err := ParseOperator(strings.Replace(string(text), old, new, 1), dir); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s: %v", change, err)
			}
		})
	}
}
