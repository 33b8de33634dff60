package scale

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/replica"
)

// Role is the task of a child process.
type Role string

// The roles.
const (
	RoleVoters   Role = "voters"   // members of the replicated log
	RoleGateways Role = "gateways" // hollow gateways
	RoleRelay    Role = "relay"    // relay between gateways and voters, which injects network faults
)

// request is a call of a method of a child process. The response has the same ID.
type request struct {
	ID     uint64          `json:"id"`
	Method string          `json:"method"`
	Body   json.RawMessage `json:"body,omitempty"`
}

type response struct {
	ID    uint64          `json:"id"`
	Error string          `json:"error,omitempty"`
	Body  json.RawMessage `json:"body,omitempty"`
}

// Methods of the children.
const (
	methodStart   = "start"
	methodStats   = "stats"   // all roles
	methodPropose = "propose" // voters
	methodLeads   = "leads"
	methodStates  = "states"  // gateways and voters: positions and digests
	methodRestart = "restart" // gateways
	methodResults = "results"
	methodLink    = "link" // the relay
)

// empty is the body of requests and responses without content.
type empty struct{}

// voterSetup configures the members that a process runs. Each member has its own directory below Dir.
type voterSetup struct {
	LocalIDs     []string         `json:"own"` // IDs of the members of this process
	Members      []replica.Member `json:"members"`
	Dir          string           `json:"dir"`
	Identity     Identity         `json:"identity"`
	RecordConfig bool             `json:"observe"` // record when configuration takes effect at the members
}

// Operation is a change to propose.
type Operation struct {
	At     time.Duration     `json:"at"`  // since the load began
	Key    uint64            `json:"key"` // identifies the change at observers; 0: not observed
	Kind   distribution.Kind `json:"kind"`
	Name   string            `json:"name,omitempty"`
	Value  json.RawMessage   `json:"value,omitempty"`
	Object uint64            `json:"object,omitempty"`
	Group  uint16            `json:"group,omitempty"`
	Burst  bool              `json:"burst,omitempty"`
}

// proposeRequest requests that a member of a process proposes an operation.
type proposeRequest struct {
	Member    string    `json:"member"`
	Operation Operation `json:"operation"`
}

// acknowledgement is the time at which the proposing member learned that an operation was committed.
type acknowledgement struct {
	At time.Time `json:"at"`
}

// leadership is the ID of the member of a process that leads; "": none.
type leadership struct {
	Leader string `json:"leader"`
}

// AckedChange is an acknowledged operation.
type AckedChange struct {
	Key   uint64            `json:"key"`
	Kind  distribution.Kind `json:"kind"`
	Name  string            `json:"name,omitempty"`
	Burst bool              `json:"burst,omitempty"`
	At    time.Time         `json:"at"`
}

// gatewaySpec describes one hollow gateway.
type gatewaySpec struct {
	Name   string           `json:"name"`
	Voters []replica.Member `json:"voters"` // with the addresses for the gateway's site
}

// gatewaysSetup configures the hollow gateways that a process runs.
type gatewaysSetup struct {
	Gateways  []gatewaySpec `json:"gateways"`
	Endpoints int           `json:"stores"`
	Seed      uint64        `json:"seed"`
	Dir       string        `json:"dir"` // for the TLS files of the operator configuration
	Identity  Identity      `json:"identity"`
}

// restartRequest requests a restart of gateways of a process. No state of the earlier incarnations is kept.
type restartRequest struct {
	Gateways []int `json:"gateways"` // their indices in the setup
}

// State is the replicated state of a gateway or a voter.
type State struct {
	Name     string                `json:"name"`
	Position distribution.Position `json:"position"`
	Digest   uint64                `json:"digest"`
	Fresh    bool                  `json:"fresh"`
}

// resultsRequest requests the latencies of the given changes.
type resultsRequest struct {
	Acked []AckedChange `json:"acked"`
}

// Results are the measurements of the gateways of one process.
type Results struct {
	Latencies      map[string]*Latencies  `json:"latencies"` // by class of change
	Reach          map[uint64]ChangeReach `json:"everyone"`  // by the change's key
	Staleness      *hdrhistogram.Snapshot `json:"staleness"` // ages of the states known to be complete, in microseconds
	CatchUp        *hdrhistogram.Snapshot `json:"catch_up"`  // from a gateway's start to its first lease, in microseconds
	Violations     []Violation            `json:"violation,omitempty"`
	ViolationCount int                    `json:"violated"` // number of violations, including those not listed
	CheckedClaims  int                    `json:"claims"`   // number of checks of a claim against a change
}

// Latencies are the times from a change's acknowledgement until it is in force at each gateway, in microseconds.
type Latencies struct {
	Fresh        *hdrhistogram.Snapshot `json:"fresh"` // at gateways that held a lease throughout
	Stale        *hdrhistogram.Snapshot `json:"stale"` // at gateways that were without a lease or restarted meanwhile
	MissingFresh int                    `json:"missing_fresh"`
	MissingStale int                    `json:"missing_stale"`
}

// ChangeReach is how far one change reached the gateways of a process. It covers gateways that held a lease throughout.
type ChangeReach struct {
	Slowest time.Duration `json:"slowest"` // latency at the slowest gateway
	Missing int           `json:"missing"` // gateways at which it did not come into force
}

// Violation is a false claim of freshness: a change acknowledged up to CompleteAt was not in force at ClaimedAt.
type Violation struct {
	Gateway    string    `json:"gateway"`
	Key        uint64    `json:"key"`
	Acked      time.Time `json:"acked"`
	CompleteAt time.Time `json:"complete_at"`
	ClaimedAt  time.Time `json:"claimed_at"`
	InForceAt  time.Time `json:"in_force_at"` // zero: never in force
}

// linkCondition is a condition of the network between sites and the voters.
type linkCondition struct {
	Sites []int         `json:"sites"`
	Cut   bool          `json:"cut"`   // close connections and reject new ones
	Stall bool          `json:"stall"` // keep connections open but forward no data
	Delay time.Duration `json:"delay"` // for each chunk of data that is read and forwarded
}

// relaySetup configures the relay between sites and voters.
type relaySetup struct {
	Sites  int              `json:"sites"`
	Voters []replica.Member `json:"voters"`
	IPs    []string         `json:"ips"` // the relay's listen addresses, one per voter
}

// relayRoutes are the addresses at which the sites reach the voters.
type relayRoutes struct {
	Sites [][]replica.Member `json:"sites"` // by site and voter
}

// ProcessStats is the resource usage of a process: processor time and traffic since its start, otherwise at the time At.
type ProcessStats struct {
	PID         int           `json:"pid"`
	At          time.Time     `json:"at"`
	CPU         time.Duration `json:"cpu"`
	RSS         int64         `json:"rss"`
	Descriptors int           `json:"descriptors"`
	Goroutines  int           `json:"goroutines"`
	Traffic     Traffic       `json:"traffic,omitzero"`
}

// Traffic counts the bytes in TCP streams and the protocol messages between gateways and voters. A gateway process counts
// for all its gateways. A voter process counts the bytes of connections that it accepted, including those of other voters,
// and counts no messages.
type Traffic struct {
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
	Reconnects  int64 `json:"reconnects"`  // by gateways
	Snapshots   int64 `json:"snapshots"`   // received by gateways
	Subscribers int64 `json:"subscribers"` // currently connected to a voter
}

// add adds the counts of other, except Subscribers.
func (t *Traffic) add(other Traffic) {
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
	t.MessagesIn += other.MessagesIn
	t.MessagesOut += other.MessagesOut
	t.Reconnects += other.Reconnects
	t.Snapshots += other.Snapshots
}
