package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"turnfork.dev/turnfork/control"
)

const node = `{"name":"n3","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"changelog":"127.0.0.1:2379","known":{"seq":3,"results":[]},
"settings":{"classes":[{"name":"firmware","deadline":5,"aim":0.6,"repeat":"free"}],"allowed":{"max-attempts":8,"dial-timeout":0.4,
"idle-close":15,"max-open":20000},"kinds":["box","parent","origin"],"zones":["hub","edge"],"family-info":{"origin-kind":2}}}`

func TestNode(t *testing.T) {
	n, err := Parse([]byte(node), "n9", "")
	if err != nil {
		t.Fatal(err)
	}
	if n.Name != "n9" || n.Listen != "127.0.0.1:5050" || n.Seed != 0x8c1f30d27a5be964 || n.DialTimeout != 400 ||
		n.IdleClose != 15000 || n.Seq != 3 || n.MemoryMB != 192 || len(n.Classes) != 1 {
		t.Errorf("%+v", n)
	}
	for change, field := range map[string]string{
		`"listen":"127.0.0.1:5050"|"listen":"here"`:                   "listen",
		`"name":"n3"|"name":"n3","console":"9100"`:                    "console",
		`8c1f30d27a5be964|xyz`:                                        "seed",
		`127.0.0.1:2379|nowhere`:                                      "changelog",
		`"results":[]|"results":[{"fleet":{"servers":[{"id":"q"}]}}]`: "servers[0].id",
		`"settings":|"other":`:                                        "settings",
		`"cores":1.0|"cores":-1`:                                      "limits",
	} {
		old, new, _ := strings.Cut(change, "|")
		if _, err := Parse([]byte(strings.Replace(node, old, new, 1)), "", ""); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", change, err)
		}
	}
}

// The file under deploy/ and the example's are read as they are; each wrong field is named.
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
	os.Mkdir(filepath.Join(dir, "secrets"), 0o700)
	for name, v := range map[string]string{
		"operator": "a secret of the operator", "main-store": "s", "url-1": "a2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s=",
		"pack-1.pem": testKey,
	} {
		os.WriteFile(filepath.Join(dir, "secrets", name), []byte(v), 0o600)
	}
	o, err := ParseOperator(string(text), dir)
	if err != nil {
		t.Fatal(err)
	}
	n := o.Node(1)
	if len(o.HTTPStores()) != 1 || o.HTTPStores()[20].Signer == nil || len(n.Classes) != 3 || !n.Settings.Classes[2].Write {
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
		old, new, _ := strings.Cut(change, "|")
		if !strings.Contains(string(text), old) {
			t.Fatalf("%q is not in the file", old)
		}
		if _, err := ParseOperator(strings.Replace(string(text), old, new, 1), dir); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", change, err)
		}
	}
}

// A subscriber's file names the voters and nothing that only a voter has.
func TestSubscriberFile(t *testing.T) {
	text, err := os.ReadFile("../deploy/subscriber.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	os.Mkdir(filepath.Join(dir, "secrets"), 0o700)
	for name, v := range map[string]string{
		"operator": "a secret of the operator", "main-store": "s", "url-1": "a2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s=",
		"pack-1.pem": testKey,
	} {
		os.WriteFile(filepath.Join(dir, "secrets", name), []byte(v), 0o600)
	}
	o, err := ParseOperator(string(text), dir)
	if err != nil || !o.Replica.Subscribe || len(o.Replica.Members) != 5 {
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
		old, new, _ := strings.Cut(change, "|")
		if !strings.Contains(string(text), old) {
			t.Fatalf("%q is not in the file", old)
		}
		if _, err := ParseOperator(strings.Replace(string(text), old, new, 1), dir); err == nil || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v", change, err)
		}
	}
}

// Settings far apart are taken, and each that makes no sense is named.
func TestSettingsAreNamed(t *testing.T) {
	const text = `{"listen":"127.0.0.1:0","settings":{"classes":[{"name":"a","aim":0.1,"deadline":0.2,"repeat":"guarded","key-ttl":9},
{"name":"b","deadline":3600,"worth":1}],"allowed":{"max-attempts":1},"guarantees":{"drain-grace":0.05,"cold-share":0.5}}}`
	for change, field := range map[string]string{
		"|": "", `"max-attempts":1|"max-attempts":64`: "", `"drain-grace":0.05|"drain-grace":60`: "", `"name":"b"|"name":"ÅÄÖ 1"`: "",
		`"name":"b"|"name":""`: "classes[1].name", `"name":"b"|"name":"a"`: "classes[1].name",
		`"max-attempts":1|"max-attempts":0`: "MaxAttempts", `"max-attempts":1|"max-attempts":1,"dial-timeout":-1`: "dial-timeout",
		`"deadline":0.2|"deadline":0`: "Classes[0].Deadline", `"deadline":3600|"deadline":-1`: "Classes[1].Deadline",
		`"aim":0.1|"aim":-0.1`: "Classes[0].Aim", `"key-ttl":9|"key-ttl":-9`: "Classes[0].KeyFor", `"worth":1|"worth":-1`: "Classes[1].Worth",
		`"drain-grace":0.05|"drain-grace":-1`: "DrainGrace", `"cold-share":0.5|"cold-share":2`: "ColdShare",
	} {
		old, new, _ := strings.Cut(change, "|")
		n, err := Parse([]byte(strings.Replace(text, old, new, 1)), "", "")
		if err == nil {
			_, err = control.New(n.Settings, 1)
		}
		if (err == nil) != (field == "") || err != nil && !strings.Contains(err.Error(), field) {
			t.Errorf("%s: %v, want %q named", change, err, field)
		}
	}
}

func TestSocketFD(t *testing.T) {
	for v, want := range map[string]int{"": 0, "3": 3, "17": 17, "2": -1, "-1": -1, "x": -1} {
		fd, err := SocketFD(func(string) string { return v })
		if want < 0 && (err == nil || !strings.Contains(err.Error(), "NODE_SOCKET_FD")) || want >= 0 && (err != nil || fd != want) {
			t.Errorf("%q: %d %v", v, fd, err)
		}
	}
}
