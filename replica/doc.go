// Package replica is the gateways' replicated store, on Raft: the operator's configuration, revocations and purges, and the
// claims of single-use tokens. A change is committed once a majority of the members, the voters, has it in its log; without
// a majority nothing changes.
//
// It owns the log, the snapshots and the state machine of a voter ([Store]), the copy of the state in a gateway that does not
// vote ([Subscriber]), and the connections between them. Both offer the same methods ([Control]).
//
// It does not decide what a step of a claim does (package claims), how a lost member is replaced (package membership), or which
// changes a subscriber is sent and how long its copy counts as fresh (package distribution). It does not interpret the
// configuration, except for the list of voters ([ConfigMembers]).
//
// The path of a change: [Store.Put] and the like make a proposal (proposer.go); a member that is not the leader forwards it
// (leader_conns.go, forward.go); the leader completes a merge with the group's value (config_change.go), gives it the agreed time and
// appends it to the log (leader.go, agreed_clock.go);
// every member applies it (state.go) and passes it to its watches (feed.go, watch_server.go), whose subscribers apply it to
// their copies (subscription.go).
package replica
