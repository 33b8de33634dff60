package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// signedCrowdFile is an operator's file with the signed frontend alone; memory, sockets and the address of the endpoints have to be
// inserted.
const signedCrowdFile = `name = "n1"
listen = "127.0.0.1:0"
[limits]
cores = 1
memory_mb = %d
sockets = %d
[[class]]
name = "firmware"
deadline_ms = 5000
[[store]]
id = 1
kind = "cache"
addr = %[3]q
[[store]]
id = 2
kind = "origin"
addr = %[3]q
[[key]]
id = "k"
kind = "hmac"
secret = "a2tra2tra2tra2tra2tra2tra2tra2tra2tra2tra2s="
`

// startSigned starts a gateway with the signed frontend, and returns it with a signed URL.
func startSigned(t *testing.T, bin string, memoryMB, sockets int, endpoint string) (p *program, url string) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "operator.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, signedCrowdFile, memoryMB, sockets, endpoint), 0o600); err != nil {
		t.Fatal(err)
	}
	p = launch(t, "/bin/sh", nil, "-c", fmt.Sprintf("ulimit -n %d; exec %s -config %s", sockets, bin, file))
	out, err := exec.Command(bin, "token", "issue", "-config", file, "-uri", "/v1/firmware/7f3a9c21e0b4d655/0").Output()
	if err != nil {
		t.Fatal(err)
	}
	var issued struct{ URL string }
	if err := json.Unmarshal(out, &issued); err != nil {
		t.Fatal(err)
	}
	return p, issued.URL
}

// shortFields returns as many header fields as one request may have, most of them short, and some that fill the rest of its head.
func shortFields() string {
	var b strings.Builder
	for i := range 56 {
		fmt.Fprintf(&b, "x%d: y\r\n", i)
	}
	for i := range 2 {
		fmt.Fprintf(&b, "long-%d: %s\r\n", i, strings.Repeat("z", 7000))
	}
	return b.String()
}

// signedCrowdBehaviors are the clients of TestSignedCrowdStaysWithinMemoryLimit. url is a signed URL.
func signedCrowdBehaviors(url string) map[string]clientBehavior {
	get := "GET " + url + " HTTP/1.1\r\nHost: h\r\n"
	post := "POST " + url + " HTTP/1.1\r\nHost: h\r\n"
	return map[string]clientBehavior{
		"announced bodies that never come": func(c net.Conn, _ int) {
			fmt.Fprintf(c, "%sContent-Length: 48000\r\n\r\nx", post)
		},
		"half of a body": func(c net.Conn, _ int) {
			fmt.Fprintf(c, "%sContent-Length: 48000\r\n\r\n%s", post, strings.Repeat("x", 40000))
		},
		"half of a body in small chunks": func(c net.Conn, _ int) {
			fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n%s", post, strings.Repeat("64\r\n"+strings.Repeat("x", 100)+"\r\n", 400))
		},
		"a head without its end": func(c net.Conn, _ int) {
			fmt.Fprintf(c, "%s%s", get, shortFields())
		},
		"a body byte by byte": func(c net.Conn, _ int) {
			fmt.Fprintf(c, "%sContent-Length: 48000\r\n\r\n%s", post, strings.Repeat("x", 40000))
			for {
				time.Sleep(100 * time.Millisecond)
				if _, err := c.Write([]byte("x")); err != nil {
					return
				}
			}
		},
		"large heads, responses left unread": func(c net.Conn, _ int) {
			for {
				if _, err := fmt.Fprintf(c, "%s%s\r\n", get, shortFields()); err != nil {
					return
				}
			}
		},
		"large responses left unread": func(c net.Conn, _ int) {
			for {
				if _, err := fmt.Fprintf(c, "%s\r\n", get); err != nil {
					return
				}
			}
		},
		"unsound requests at full speed": func(c net.Conn, _ int) {
			go discard(c)
			for {
				if _, err := fmt.Fprintf(c, "GET /v1/firmware/%d/0 HTTP/1.1\r\nHost: h\r\n%s\r\n", time.Now().UnixNano(), shortFields()); err != nil {
					return
				}
			}
		},
	}
}

// Guards against bytes of the signed frontend's clients that no limit counts: heads, announced bodies, and responses that wait behind
// one that their client does not read.
func TestSignedCrowdStaysWithinMemoryLimit(t *testing.T) {
	const clients, sockets = 700, 1024
	bin := build(t)
	store := startLargeObjects(t)
	slots := make(chan struct{}, parallelCrowds)
	for _, memoryMB := range []int{64, 192} {
		for name := range signedCrowdBehaviors("") {
			t.Run(fmt.Sprintf("%d MB, %s", memoryMB, name), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				p, url := startSigned(t, bin, memoryMB, sockets, store.Addr())
				runCrowd(t, p.addr, clients, 2*time.Second, signedCrowdBehaviors(url)[name])
				peak := p.residentMB(t, "VmHWM")
				t.Logf("resident: %.0f MB at most", peak)
				if peak > float64(memoryMB) {
					t.Errorf("%.0f MB resident, of %d", peak, memoryMB)
				}
				checkHealthz(t, p, p.addr, true)
			})
		}
	}
}
