// Package distribution decides how the changes of a replicated log reach the gateways that do not vote in it.
//
// A voter has a [Publisher]: a bounded journal of changes with one cursor for each subscriber. A gateway that does not vote
// has a [View], the copy of the state as far as it was received, and a [Lease], which shows how long ago that copy was
// complete. A gateway that is itself a voter has a [MemberLease]. [VoterChoice] and [Backoff] decide which voter a gateway
// connects to, and when.
//
// A subscriber sends heartbeats. A voter answers with marks: once a majority has confirmed the voter's leader after a heartbeat
// arrived, a [Mark] names the heartbeat and the revision up to which the subscriber has everything that was acknowledged before.
//
// The package does no I/O, takes no locks and starts no goroutine: the current time and the source of randomness are
// arguments. Package replica carries the messages between members and subscribers, and applies the log.
package distribution
