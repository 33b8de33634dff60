package replica

import (
	"crypto/tls"
	"encoding/json"
	"net"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
	"turnfork.dev/turnfork/membership"
)

// Member is a member as listed in the operator's file.
type Member = membership.Member

// Options configures a member.
type Options struct {
	ID       string
	Members  []Member     // empty: a standalone member, in memory, without sockets and files
	Listener net.Listener // for connections of other members and of subscribers
	TLS      *tls.Config  // for both directions, with certificates issued by the members' authority
	Dir      string       // of the log and the snapshots
	Clock    *clock.Clock
	Log      zerolog.Logger

	// Changed is called with each value of the operator's configuration that is set. It may be nil. It must not block.
	Changed func(name string, value json.RawMessage)
	// Purged is called with each purge. It may be nil. It must not block.
	Purged func(c distribution.Change)
	// Missed is called when purges proposed before a Unix time in ms may be missing. It may be nil. It must not block.
	Missed func(before int64)

	// MinRevocation returns the least time for which a revocation is kept, by the configuration that this member has applied. The
	// leader's counts, as the proposer's copy of the configuration may be outdated. It may be nil. It must not block.
	MinRevocation func() time.Duration

	HeartbeatTimeout time.Duration // of Raft; 0: 500 ms, standalone 50 ms
	Join             bool          // the group exists already, and this member is added by ReplaceMember

	// OwnLease makes the member keep a lease on its own state, for a gateway in the same process: Fresh and MaxCopyAge depend
	// on it. Without one, and in a standalone member, the state counts as complete.
	OwnLease bool
	// FreshnessChanged is called when the state becomes fresh or stale by that lease; it is stale at first. It may be nil. It
	// must not block.
	FreshnessChanged func(fresh bool)
	Now              func() time.Time // for that lease, monotonic; nil: time.Now

	Dial   DialFunc            // opens connections to other members; nil: TCP
	Timing distribution.Timing // of subscribers and confirmations
	Limits distribution.Limits // of subscribers

	OpenLogs func(path string) (LogDatabase, error) // opens the log file; nil: OpenLogDatabase

	wrapLogs func(raft.LogStore) raft.LogStore // for tests: injects disk faults
}
