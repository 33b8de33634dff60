package rig2

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Listed is a store in the list of stores.
type Listed struct {
	ID, Addr, Zone, Kind, State string
	StartedMs                   int64
}

// PlatformConfig returns a NODE_CONFIG of a small deployment: one zone with caches, one hub with the origin, two read classes
// and ride-end. changelog may be "".
func PlatformConfig(name, listen, console, changelog string, stores []Listed) string {
	var servers []map[string]any
	for _, s := range stores {
		servers = append(servers, map[string]any{"id": s.ID, "addr": s.Addr, "zone": s.Zone, "kind": s.Kind, "cell": 0,
			"state": s.State, "weight": 30, "started_ms": s.StartedMs})
	}
	class := func(name, repeat string, aim, deadline, worth float64) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "aim": aim, "aim-stretch": 2, "deadline": deadline, "worth": worth,
			"group": "all", "key-ttl": 5, "late-worth": 0.1, "stream": false}
	}
	settings := map[string]any{
		"me": 0, "balancers": 2, "az": 1, "quantum": 0.002, "discovery": "push", "weights": "nominal", "family": "edge",
		"kinds": []string{"small-box", "parent", "origin"}, "zones": []string{"north-hub", "edge-1"},
		"classes": []any{class("firmware", "free", 0.6, 5, 2), class("app-assets", "free", 0.4, 2.5, 1), class("ride-end", "single_shot", 0.7, 3, 3)},
		"allowed": map[string]any{"cancel": true, "max-attempts": 8, "max-open": 20000, "max-retry-after": 0.5, "parallel-tries": false,
			"probes": true, "retry-after": true, "dial-timeout": 0.4, "idle-close": 15, "streams-per-conn": 100},
		"clients": map[string]any{"marks-retry": false},
		"family-info": map[string]any{"aged-worth": []float64{0.7, 0.7, 0.7}, "class-fresh": []float64{0, 12, 0}, "client-kb-per-s": 3400,
			"goes-through": []bool{false, false, true}, "joins": false, "link-in-kb-per-s": []float64{0, 18000}, "notice-time": 1,
			"origin-kind": 2, "shield-kind": 1, "parent-starts-at": 0.07, "parent-warms-in": 18, "purge-done": 6, "says": "all",
			"seats-by-zone": []int{0, 2}, "sideways": "any", "stale-for": []float64{0, 0, 0}, "straight": true, "upper-fall-multiple": 2,
			"zone-hub": []int{0, 0}},
		"guarantees": map[string]any{"cold": 17, "cold-share": 0.15, "drain-grace": 0.25, "fall": 1, "fall-multiple": 4, "answer-slack": 0.008},
		"report":     map[string]any{"fields": []string{"inflight", "util", "x0", "x1"}, "via": "pull"},
	}
	config := map[string]any{
		"name": name, "listen": listen, "seed": "8c1f30d27a5be901", "console": console, "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"seq": 1, "results": []any{map[string]any{"seq": 1, "fleet": map[string]any{"version": 1, "full": true,
			"servers": servers}}}},
		"settings": settings,
	}
	if changelog != "" {
		config["changelog"] = changelog
	}
	text, err := json.Marshal(config)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// Front is a client of the platform's protocol, on one connection.
type Front struct {
	conn net.Conn

	mu     sync.Mutex
	nextID uint16
	open   map[uint16]chan FrontReply
	bodies map[uint16]*strings.Builder
	ended  bool
}

// FrontReply is the answer to a request.
type FrontReply struct {
	Lost   bool // the connection ended without the whole answer
	Proto  byte
	Status int
	Header map[string]string
	Body   string
}

// Dial opens a connection to a gateway.
func Dial(addr string) (*Front, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	f := &Front{conn: conn, open: map[uint16]chan FrontReply{}, bodies: map[uint16]*strings.Builder{}}
	go f.read()
	return f, nil
}

// Close closes the connection.
func (f *Front) Close() { f.conn.Close() }

// Send sends a request with these parameters and returns the channel of its answer.
func (f *Front) Send(params map[string]string, body string) <-chan FrontReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nextID++
	id, reply := f.nextID, make(chan FrontReply, 1)
	if f.ended {
		reply <- FrontReply{Lost: true}
		return reply
	}
	f.open[id], f.bodies[id] = reply, &strings.Builder{}
	var pairs []byte
	for k, v := range params {
		for _, s := range []string{k, v} {
			pairs = binary.BigEndian.AppendUint32(pairs, uint32(len(s))|1<<31)
		}
		pairs = append(append(pairs, k...), v...)
	}
	out := record(1, id, []byte{0, 1, 1, 0, 0, 0, 0, 0})
	out = append(out, record(4, id, pairs)...)
	out = append(out, record(4, id, nil)...)
	if body != "" {
		out = append(out, record(5, id, []byte(body))...)
	}
	f.conn.Write(append(out, record(5, id, nil)...))
	return reply
}

// Params returns the parameters of a request.
func Params(class, txn, object string, part int, ttlMs int) map[string]string {
	return map[string]string{"SCRIPT_NAME": "/v1/" + class, "REQUEST_METHOD": "GET", "HTTP_X_TXN": txn, "HTTP_X_ROW": object,
		"HTTP_X_BLOCK": strconv.Itoa(part), "HTTP_X_FAMILY": "17", "HTTP_X_TTL_MS": strconv.Itoa(ttlMs), "HTTP_X_WORKING_SET_KB": "100"}
}

// Healthy reports whether a gateway answers /healthz with 200.
func Healthy(addr string) bool {
	f, err := Dial(addr)
	if err != nil {
		return false
	}
	defer f.Close()
	select {
	case r := <-f.Send(map[string]string{"SCRIPT_NAME": "/healthz"}, ""):
		return r.Status == 200
	case <-time.After(time.Second):
		return false
	}
}

func record(kind byte, id uint16, content []byte) []byte {
	out := []byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}
	return append(out, content...)
}

func (f *Front) read() {
	r := bufio.NewReader(f.conn)
	for {
		var head [8]byte
		if _, err := io.ReadFull(r, head[:]); err != nil {
			break
		}
		content := make([]byte, int(head[4])<<8|int(head[5])+int(head[6]))
		if _, err := io.ReadFull(r, content); err != nil {
			break
		}
		content = content[:len(content)-int(head[6])]
		id := binary.BigEndian.Uint16(head[2:])
		f.mu.Lock()
		switch reply := f.open[id]; {
		case reply == nil:
		case head[1] == 6:
			f.bodies[id].Write(content)
		case head[1] == 3:
			reply <- parseReply(f.bodies[id].String(), content[4])
			delete(f.open, id)
		}
		f.mu.Unlock()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for _, reply := range f.open {
		reply <- FrontReply{Lost: true}
	}
	f.open = nil
}

func parseReply(text string, proto byte) FrontReply {
	out := FrontReply{Proto: proto, Header: map[string]string{}}
	head, body, _ := strings.Cut(text, "\r\n\r\n")
	out.Body = body
	for _, line := range strings.Split(head, "\r\n") {
		k, v, _ := strings.Cut(line, ": ")
		out.Header[k] = v
	}
	fmt.Sscanf(out.Header["Status"], "%d", &out.Status)
	return out
}
