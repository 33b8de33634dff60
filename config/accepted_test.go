package config

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/limits"
	"turnfork.dev/turnfork/upstream/httpstore"
)

// minimalOperatorText has only the required keys of an operator's file, so that all others take their defaults.
const minimalOperatorText = `listen = "127.0.0.1:1"
[[class]]
name = "a"
deadline_ms = 1000
[[store]]
id = 1
kind = "origin"
addr = "127.0.0.1:2"
`

// parseOperator parses an operator's file that must be accepted.
func parseOperator(t *testing.T, text string) *Operator {
	t.Helper()
	o, err := ParseOperator(text, t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return o
}

// checkEqual compares two values, including all their fields.
func checkEqual(t *testing.T, got, want any) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}

// An operator's file with all sections is converted to the expected configuration of the node.
func TestOperatorNode(t *testing.T) {
	endpoint := func(addr string, info control.Endpoint) core.Endpoint {
		info.State = control.Ready
		return core.Endpoint{Addr: addr, Info: info}
	}
	want := Node{
		Name: "g", Listen: "127.0.0.1:9000", AdminAddr: "127.0.0.1:8444", Seed: 7, Cores: 2, MemoryMB: 192, Sockets: 1024,
		Classes: []string{"firmware", "ride-end", "once"}, MaxOpen: 77, DialTimeoutMs: 300, IdleTimeoutMs: 20000, StreamsPerConn: 100,
		KnownEvents: []core.Event{core.EndpointList{Snapshot: true, Endpoints: []core.Endpoint{
			endpoint("127.0.0.1:5051", control.Endpoint{ID: 1, Zone: 1, Kind: 0, Weight: 12}),
			endpoint("127.0.0.1:5060", control.Endpoint{ID: 10, Zone: 0, Kind: 1, Weight: 10}),
			endpoint("", control.Endpoint{ID: 20, Zone: 0, Kind: 2, Weight: 10}),
		}}},
		Settings: control.Settings{
			Gateway: 1, Gateways: 3, Zone: 1, GatewaysByZone: []int{0, 3}, HubOfZone: []int{0, 0}, Kinds: 3, ParentKind: 1, OriginKind: 2,
			BatchInterval: 2 * time.Millisecond, ClientKBps: 3400, WeightsKnown: true, MaxAttempts: 6, CanCancel: true,
			CanRetryAfter: true, MaxRetryAfter: 700 * time.Millisecond, CanBypassCaches: true, ResultsDetailed: true,
			DrainGrace: 250 * time.Millisecond, SlowStartShare: 0.2, SlowStartDuration: 16 * time.Second, CollapseMultiple: 3,
			CollapseWindow: 2 * time.Second, ParentSlowStartShare: 0.2, ParentSlowStartDuration: 16 * time.Second,
			ParentCollapseMultiple: 2, PurgeGrace: time.Second, PurgeCompletion: 7 * time.Second,
			Classes: []control.Class{
				{
					LatencyObjective: 600 * time.Millisecond, ObjectiveStretch: 2, Deadline: 5 * time.Second, PriorityWeight: 2,
					LateValue: 0.15, FreshFor: 12 * time.Second,
				},
				{
					LatencyObjective: 750 * time.Millisecond, Deadline: 3 * time.Second, PriorityWeight: 1,
					Idempotency: control.NonIdempotent, Write: true,
				},
				{
					LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second, PriorityWeight: 1,
					Idempotency: control.NonIdempotent,
				},
			},
		},
	}
	o := parseOperator(t, operatorText)
	checkEqual(t, o.Node(7), want)
	checkEqual(t, o.HTTPEndpoints(), map[uint32]httpstore.Endpoint{20: {
		Base:   "http://127.0.0.1:9000/rides",
		Signer: &httpstore.Signer{AccessKey: "gateway", SecretKey: "s", Region: "kz-1", Service: "s3"},
	}})
	checkEqual(t, o.Limit.Options(), limits.Options{
		Grant: limits.Limit{
			Requests: limits.Rate{PerSecond: 20, Burst: 40}, Bytes: limits.Rate{PerSecond: 7000}, MaxInFlight: 3,
		},
		Client: limits.Limit{Bytes: limits.Rate{PerSecond: 20_000_000}, MaxInFlight: 200},
	})
}

// Keys that an operator's file leaves out take the expected defaults.
func TestMinimalOperatorNode(t *testing.T) {
	want := Node{
		Seed: 7, Classes: []string{"a"}, DialTimeoutMs: 400, IdleTimeoutMs: 15000, StreamsPerConn: 100,
		KnownEvents: []core.Event{core.EndpointList{Snapshot: true, Endpoints: []core.Endpoint{{
			Addr: "127.0.0.1:2", Info: control.Endpoint{ID: 1, Kind: 2, Weight: 10, State: control.Ready},
		}}}},
		Settings: control.Settings{
			Gateways: 1, Zone: 1, GatewaysByZone: []int{0, 1}, HubOfZone: []int{0, 0}, Kinds: 3, ParentKind: -1, OriginKind: 2,
			BatchInterval: 2 * time.Millisecond, WeightsKnown: true, MaxAttempts: 8, CanCancel: true, CanCheckHealth: true,
			CanRetryAfter: true, MaxRetryAfter: 500 * time.Millisecond, CanBypassCaches: true, ResultsDetailed: true,
			DrainGrace: 250 * time.Millisecond, CollapseMultiple: 4, CollapseWindow: time.Second, ParentCollapseMultiple: 2,
			PurgeGrace: time.Second, PurgeCompletion: 6 * time.Second,
			Classes: []control.Class{{LatencyObjective: 250 * time.Millisecond, Deadline: time.Second, PriorityWeight: 1}},
		},
	}
	o := parseOperator(t, minimalOperatorText)
	checkEqual(t, o.Node(7), want)
	if o.Scheme != "http" || o.LeewayS != 10 {
		t.Errorf("scheme %q, leeway %v", o.Scheme, o.LeewayS)
	}
}

// Variants of the sections that are accepted, besides those of operatorText.
func TestAcceptedOperatorFiles(t *testing.T) {
	voters := between(operatorText, "[[replica.member]]", "")
	for _, c := range []struct{ name, old, new string }{
		{"any origin", `"https://app.example"`, `"*"`},
		{"leeway zero", "leeway_s = 5", "leeway_s = 0"},
		{"leeway at its maximum", "leeway_s = 5", "leeway_s = 300"},
		{"unlimited token lifetime", "token_s = 60", "token_s = inf"},
		{"all requests traced", "trace_share = 0.5", "trace_share = 1"},
		{"no operator secret", `operator_secret = "sixteen letters."`, ""},
		{"duplicate class", `name = "once"`, `name = "firmware"`},
		{"duplicate signer", "[[key]]", "[[signer]]\nname = \"main\"\naccess_key = \"a\"\nsecret_key = \"s\"\nregion = \"r\"\nservice = \"s3\"\n[[key]]"},
		{"no replica", voters, ""},
		{"subscriber", "dir = \"state\"\nlisten = \"127.0.0.1:7001\"", "subscribe = true"},
		{"joining member", `dir = "state"`, "dir = \"state\"\njoin = true"},
		{"key in upper case", "leeway_s = 5", "LEEWAY_S = 5"},
	} {
		t.Run(c.name, func(t *testing.T) { parseOperator(t, replaceOnce(t, operatorText, c.old, c.new)) })
	}
}

// A NODE_CONFIG file is converted to the expected configuration.
func TestPlatformNode(t *testing.T) {
	got, err := Parse([]byte(nodeText), "", "")
	if err != nil {
		t.Fatal(err)
	}
	checkEqual(t, got, Node{
		Name: "n3", Listen: "127.0.0.1:5050", AdminAddr: "127.0.0.1:5051", Seed: 0x8c1f30d27a5be964, Cores: 1.5, MemoryMB: 192,
		Sockets: 1024, ClientBytesPerSecond: 1000, DiscoveryAddr: "127.0.0.1:2379", KnownSeq: 3, Classes: []string{"firmware", "pay"}, MaxOpen: 20000,
		DialTimeoutMs: 300, IdleTimeoutMs: 15000, StreamsPerConn: 7,
		Settings: control.Settings{
			Kinds: 3, ParentKind: -1, OriginKind: 2, WeightsKnown: true, MaxAttempts: 8,
			Classes: []control.Class{
				{LatencyObjective: 600 * time.Millisecond, Deadline: 5 * time.Second},
				{Deadline: 2 * time.Second, Idempotency: control.NonIdempotent},
			},
		},
	})
}

// Keys of NODE_CONFIG are matched without regard to case.
func TestKeysIgnoreCase(t *testing.T) {
	want, err := Parse([]byte(nodeText), "", "")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{
		"name", "listen", "console", "seed", "limits", "cores", "memory_mb", "sockets", "flow_bytes_per_s", "changelog", "known",
		"settings", "classes", "deadline", "aim", "repeat", "allowed", "max-attempts", "dial-timeout", "idle-close", "max-open",
		"streams-per-conn", "kinds", "zones", "family-info", "origin-kind",
	} {
		t.Run(key, func(t *testing.T) {
			quoted := `"` + key + `":`
			got, err := Parse([]byte(replaceOnce(t, nodeText, quoted, strings.ToUpper(quoted))), "", "")
			if err != nil {
				t.Fatal(err)
			}
			checkEqual(t, got, want)
		})
	}
}

// NODE_NAME, NODE_LISTEN, NODE_CONSOLE and NODE_SOCKET_FD take precedence over the file, and errors in them name the variable.
func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(path, []byte(nodeText), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{
		"NODE_NAME": "n4", "NODE_LISTEN": "127.0.0.1:6050", "NODE_CONSOLE": "127.0.0.1:6051", "NODE_SOCKET_FD": "3",
	}
	getenv := func(key string) string { return env[key] }
	n, err := Load(path, getenv)
	if err != nil || n.Name != "n4" || n.Listen != "127.0.0.1:6050" || n.AdminAddr != "127.0.0.1:6051" || n.SocketFD != 3 {
		t.Errorf("%+v, %v", n, err)
	}
	for _, c := range []struct{ name, path, key, value, want string }{
		{"no path", "", "", "", "NODE_CONFIG: not set"},
		{"no file", path + "x", "", "", "NODE_CONFIG: stat " + path + "x: no such file or directory"},
		{"listen", path, "NODE_LISTEN", "here", `config: listen: "here" is not an address with a port`},
		{"console", path, "NODE_CONSOLE", "here", `config: NODE_CONSOLE: "here" is not an address with a port`},
		{"descriptor", path, "NODE_SOCKET_FD", "2", `config: NODE_SOCKET_FD: "2" is not a descriptor of at least 3`},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Load(c.path, func(key string) string {
				if key == c.key {
					return c.value
				}
				return getenv(key)
			})
			checkErrorText(t, err, "", c.want)
		})
	}
}

// Of several errors in an operator's file the first one in this order is reported.
func TestOrderOfChecks(t *testing.T) {
	faults := []struct{ old, new, want string }{
		{`"127.0.0.1:8444"`, `"8444"`, "config: config: console: "},
		{`"127.0.0.1:8443"`, `"8443"`, "config: config: listen: "},
		{`fastcgi = "127.0.0.1:9000"`, `fastcgi = "9000"`, "config: config: fastcgi: "},
		{`"https"`, `"gopher"`, "config: scheme: "},
		{"leeway_s = 5", "leeway_s = -1", "config: leeway_s: "},
		{"trace_share = 0.5", "trace_share = 2", "config: trace_share: "},
		{"token_s = 60", "token_s = -1", "config: token_s: "},
		{`"sixteen letters."`, `"short"`, "config: operator_secret: "},
		{"max_age_s = 600", "max_age_s = -1", "config: cors.max_age_s: "},
		{`"https://app.example"`, `"app"`, "config: cors.origins[0]: "},
		{`"range"`, `"a b"`, "config: cors.headers[0]: "},
		{"per_second = 20", "per_second = -1", "config: limit.grant.per_second: "},
		{"kb_per_s = 20000", "kb_per_s = -1", "config: limit.client.kb_per_s: "},
		{"[limit.grant]", "[limit]\nclient_v4_bits = 33\nclient_v6_bits = 129\n[limit.grant]", "config: limit.client_v4_bits: "},
		{`name = "firmware"`, "", "config: class[0].name: "},
		{"deadline_ms = 5000", "", "config: class[0].deadline_ms: "},
		{`access_key = "gateway"`, "", "config: signer[0].name, "},
		{`kind = "parent"`, `kind = "uncle"`, "config: store[1].kind: "},
		{"id = 10\n", "id = 1\n", "config: store[1].id: "},
		{`addr = "127.0.0.1:5060"`, `addr = "5060"`, "config: config: store[1].addr: "},
		{`signer = "main"`, `signer = "other"`, "config: store[2].signer: "},
		{`kind = "hmac"`, "kind = \"hmac\"\nprivate_file = \"none\"", "config: key[0].private_file: "},
		{"a2tra2tra2", "!", "config: key[0].secret: "},
		{`cert_file = "cert.pem"`, "", "config: replica.cert_file: "},
		{`listen = "127.0.0.1:7001"`, `listen = "7001"`, "config: config: replica.listen: "},
		{`id = "b"`, "", "config: replica.member[1].id: "},
	}
	for i, first := range faults {
		text := operatorText
		for _, f := range faults[i:] {
			text = replaceOnce(t, text, f.old, f.new)
		}
		if _, err := ParseOperator(text, t.TempDir()); err == nil || !strings.HasPrefix(err.Error(), first.want) {
			t.Errorf("%v, want prefix %q", err, first.want)
		}
	}
}
