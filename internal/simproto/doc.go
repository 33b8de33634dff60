// Package simproto implements the protocol of the simulator: frames of big-endian records, and the settings with which an
// instance starts. It translates between them and the events, actions and settings of package control.
//
// It does not run the decision module and does not do any input or output of its own: cmd/simadapter does. Announced sizes are
// checked against bounds before memory is allocated.
//
// A frame is a length (4 bytes) and its content: the number of records (4 bytes), the clock in seconds (8 bytes), then the
// records, each with its code (2 bytes) and the number of its instance (4 bytes). A reply has the same form without the clock.
//
// # Names
//
// The keys of the settings differ from the names in this project's code. The following list is the only place that maps them;
// the fields of a record are named in decode.go, where they are read.
//
// Settings, with fields of [control.Settings] unless another type is named:
//
//	me, balancers                              Gateway, Gateways
//	az                                         Zone
//	quantum                                    BatchInterval
//	discovery ("ask")                          PollEndpoints
//	weights (not "silent")                     WeightsKnown
//	kinds                                      Kinds
//	allowed.cancel                             CanCancel
//	allowed.max-attempts                       MaxAttempts
//	allowed.max-retry-after                    MaxRetryAfter
//	allowed.parallel-tries                     CanHedge
//	allowed.probes                             CanCheckHealth
//	allowed.retry-after                        CanRetryAfter
//	clients.marks-retry                        ClientsMarkRetries
//	guarantees.cold, .cold-share               SlowStartDuration, SlowStartShare
//	guarantees.drain-grace                     DrainGrace
//	guarantees.fall, .fall-multiple            CollapseWindow, CollapseMultiple
//	family-info.client-kb-per-s                ClientKBps
//	family-info.joins                          CanJoinFills
//	family-info.link-in-kb-per-s               LinkKBps
//	family-info.notice-time                    PurgeGrace
//	family-info.origin-kind, .shield-kind      OriginKind, ParentKind
//	family-info.parent-starts-at               ParentSlowStartShare
//	family-info.parent-warms-in                ParentSlowStartDuration
//	family-info.purge-done                     PurgeCompletion
//	family-info.says ("all")                   ResultsDetailed
//	family-info.seats-by-zone                  GatewaysByZone
//	family-info.sideways                       PeerFillScope
//	family-info.straight                       CanBypassCaches
//	family-info.upper-fall-multiple            ParentCollapseMultiple
//	family-info.zone-hub                       HubOfZone
//	classes.aim, .aim-stretch                  Class.LatencyObjective, Class.ObjectiveStretch
//	classes.deadline                           Class.Deadline
//	classes.group, .key-ttl                    Class.DedupScope, Class.DedupWindow
//	classes.late-worth, .worth                 Class.LateValue, Class.PriorityWeight
//	classes.repeat                             Class.Idempotency
//	family-info.class-fresh (by class)         Class.FreshFor
//	family-info.stale-for, .aged-worth         Class.MaxStaleness, Class.StaleValue
//	family-info.goes-through (by class)        Class.Write
//	report.fields                              [LoadFields]
//
// Values of a load report, with fields of [control.LoadReport]:
//
//	inflight, util, x0, x1                     InFlight, Utilization, HitRate, LinkUtilization
package simproto
