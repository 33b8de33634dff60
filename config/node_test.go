package config

import (
	"strings"
	"testing"

	"turnfork.dev/turnfork/control"
)

const smallNodeText = `{"name":"n3","listen":"127.0.0.1:5050","seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"changelog":"127.0.0.1:2379","known":{"seq":3,"results":[]},
"settings":{"classes":[{"name":"firmware","deadline":5,"aim":0.6,"repeat":"free"}],"allowed":{"max-attempts":8,"dial-timeout":0.4,
"idle-close":15,"max-open":20000},"kinds":["box","parent","origin"],"zones":["hub","edge"],"family-info":{"origin-kind":2}}}`

func TestParse(t *testing.T) {
	n, err := Parse([]byte(smallNodeText), "n9", "")
	if err != nil {
		t.Fatal(err)
	}
	if n.Name != "n9" || n.Listen != "127.0.0.1:5050" || n.Seed != 0x8c1f30d27a5be964 || n.DialTimeoutMs != 400 ||
		n.IdleTimeoutMs != 15000 || n.KnownSeq != 3 || n.MemoryMB != 192 || len(n.Classes) != 1 {
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
		t.Run(change, func(t *testing.T) {
			old, new, _ := strings.Cut(change, "|")
			if _, err := Parse([]byte(strings.Replace(smallNodeText, old, new, 1)), "", ""); err == nil || !strings.Contains(err.Error(), field) {
				t.Errorf("%s: %v", change, err)
			}
		})
	}
}

// Settings within their wide ranges are accepted, and the error for an invalid one names it.
func TestInvalidSettingsAreNamed(t *testing.T) {
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
		t.Run(change, func(t *testing.T) {
			old, new, _ := strings.Cut(change, "|")
			n, err := Parse([]byte(strings.Replace(text, old, new, 1)), "", "")
			if err == nil {
				_, err = control.New(n.Settings, 1)
			}
			if (err == nil) != (field == "") || err != nil && !strings.Contains(err.Error(), field) {
				t.Errorf("%s: %v, want an error that names %q", change, err, field)
			}
		})
	}
}

func TestSocketFD(t *testing.T) {
	for v, want := range map[string]int{"": 0, "3": 3, "17": 17, "2": -1, "-1": -1, "x": -1} {
		t.Run("NODE_SOCKET_FD="+v, func(t *testing.T) {
			fd, err := SocketFD(func(string) string { return v })
			if want < 0 && (err == nil || !strings.Contains(err.Error(), "NODE_SOCKET_FD")) || want >= 0 && (err != nil || fd != want) {
				t.Errorf("%q: %d %v", v, fd, err)
			}
		})
	}
}
