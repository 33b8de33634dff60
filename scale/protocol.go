package scale

import (
	"encoding/json"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/replica"
)

// Role is what a child process does.
type Role string

// The roles.
const (
	RoleVoters   Role = "voters"   // members of the replicated log
	RoleGateways Role = "gateways" // hollow gateways
	RoleRelay    Role = "relay"    // the network between gateways and voters, with its faults
)

// request asks a child to carry out a method. response answers the request of the same ID.
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
	methodStats   = "stats"   // of every role
	methodPropose = "propose" // of voters
	methodLeads   = "leads"
	methodStates  = "states"  // of gateways and voters: positions and digests
	methodRestart = "restart" // of gateways
	methodResults = "results"
	methodLink    = "link" // of the relay
)

// empty is a body without content.
type empty struct{}

// voterSetup starts members in a process. Each has a folder of its own below Dir.
type voterSetup struct {
	LocalIDs     []string         `json:"own"` // IDs of the members of this process
	Members      []replica.Member `json:"members"`
	Dir          string           `json:"dir"`
	Identity     Identity         `json:"identity"`
	RecordConfig bool             `json:"observe"` // record when configuration comes into force at the members
}

// Operation is a change to be proposed.
type Operation struct {
	At     time.Duration     `json:"at"`  // since the load began
	Key    uint64            `json:"key"` // identifies it where it comes into force; 0: that is not observed
	Kind   distribution.Kind `json:"kind"`
	Name   string            `json:"name,omitempty"`
	Value  json.RawMessage   `json:"value,omitempty"`
	Object uint64            `json:"object,omitempty"`
	Group  uint16            `json:"group,omitempty"`
	Burst  bool              `json:"burst,omitempty"`
}

// proposal asks one member of a process to propose an operation.
type proposeRequest struct {
	Member    string    `json:"member"`
	Operation Operation `json:"operation"`
}

// acknowledgement tells when a proposer learned that an operation was agreed on.
type acknowledgement struct {
	At time.Time `json:"at"`
}

// leadership names the member of a process that leads; "": none does.
type leadership struct {
	Leader string `json:"leader"`
}

// AckedChange is an operation that was acknowledged.
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
	Voters []replica.Member `json:"voters"` // at the addresses of its site
}

// gatewaysSetup starts hollow gateways in a process.
type gatewaysSetup struct {
	Gateways  []gatewaySpec `json:"gateways"`
	Endpoints int           `json:"stores"`
	Seed      uint64        `json:"seed"`
	Dir       string        `json:"dir"` // for the files that the operator's file names
	Identity  Identity      `json:"identity"`
}

// restartRequest has gateways of a process closed and started anew, with nothing kept.
type restartRequest struct {
	Gateways []int `json:"gateways"` // their places in the setup
}

// State is what a gateway or a voter holds.
type State struct {
	Name     string                `json:"name"`
	Position distribution.Position `json:"position"`
	Digest   uint64                `json:"digest"`
	Fresh    bool                  `json:"fresh"`
}

// resultsRequest asks gateways for their latencies from the acknowledgements.
type resultsRequest struct {
	Acked []AckedChange `json:"acked"`
}

// Results are what the gateways of one process measured.
type Results struct {
	Latencies map[string]*Latencies  `json:"latencies"` // by class of change
	Everyone  map[uint64]ChangeReach `json:"everyone"`  // by the change's key
	Staleness *hdrhistogram.Snapshot `json:"staleness"` // ages of what was known to be complete, in microseconds
	CatchUp   *hdrhistogram.Snapshot `json:"catch_up"`  // from a gateway's start to its first lease, in microseconds
	Violation []Violation            `json:"violation,omitempty"`
	Violated  int                    `json:"violated"` // how many there were, beyond those listed
	Claims    int                    `json:"claims"`   // claims of freshness that were checked
}

// Latencies are the times from acknowledged to in force at each gateway, in microseconds.
type Latencies struct {
	Fresh        *hdrhistogram.Snapshot `json:"fresh"` // at gateways whose lease held all the while
	Stale        *hdrhistogram.Snapshot `json:"stale"` // at gateways that knew themselves to be cut off, or restarted
	MissingFresh int                    `json:"missing_fresh"`
	MissingStale int                    `json:"missing_stale"`
}

// ChangeReach tells how one change reached the gateways of a process.
type ChangeReach struct {
	Slowest time.Duration `json:"slowest"` // among those whose lease held
	Missing int           `json:"missing"` // of those whose lease held
}

// Violation is a claim of freshness by a gateway that lacked a change acknowledged before.
type Violation struct {
	Gateway    string    `json:"gateway"`
	Key        uint64    `json:"key"`
	Acked      time.Time `json:"acked"`
	CompleteAt time.Time `json:"complete_at"`
	ClaimedAt  time.Time `json:"claimed_at"`
	InForceAt  time.Time `json:"in_force_at"` // zero: never
}

// linkCondition is a state of the network between a site and the voters.
type linkCondition struct {
	Sites []int         `json:"sites"`
	Cut   bool          `json:"cut"`   // connections end and none is taken
	Stall bool          `json:"stall"` // connections stay and carry nothing
	Delay time.Duration `json:"delay"` // added to every piece carried
}

// relaySetup starts a relay between sites and voters.
type relaySetup struct {
	Sites  int              `json:"sites"`
	Voters []replica.Member `json:"voters"`
	IPs    []string         `json:"ips"` // on which the relay listens, one for each voter
}

// relayRoutes are the addresses at which a site reaches the voters.
type relayRoutes struct {
	Sites [][]replica.Member `json:"sites"` // by site, then by voter
}

// ProcessStats are a process's use of the machine since its start.
type ProcessStats struct {
	PID         int           `json:"pid"`
	At          time.Time     `json:"at"`
	CPU         time.Duration `json:"cpu"`
	RSS         int64         `json:"rss"`
	Descriptors int           `json:"descriptors"`
	Goroutines  int           `json:"goroutines"`
	Traffic     Traffic       `json:"traffic,omitzero"`
}

// Traffic counts what was carried between gateways and voters: bytes within TCP, and the protocol's messages. A gateway
// process counts for all its gateways. A voter counts the bytes of the connections that it accepted, those of other voters
// included, and no messages.
type Traffic struct {
	BytesIn     int64 `json:"bytes_in"`
	BytesOut    int64 `json:"bytes_out"`
	MessagesIn  int64 `json:"messages_in"`
	MessagesOut int64 `json:"messages_out"`
	Reconnects  int64 `json:"reconnects"`  // of gateways
	Snapshots   int64 `json:"snapshots"`   // received by gateways
	Subscribers int64 `json:"subscribers"` // of a voter, now
}

// add adds the counts of another.
func (t *Traffic) add(other Traffic) {
	t.BytesIn += other.BytesIn
	t.BytesOut += other.BytesOut
	t.MessagesIn += other.MessagesIn
	t.MessagesOut += other.MessagesOut
	t.Reconnects += other.Reconnects
	t.Snapshots += other.Snapshots
}
