// Package control is the decision module of a gateway in front of tiers of caches and one origin. It decides
// which cache a request goes to, which source a missing object is filled from, when a fill may start, when
// to retry and when to reject. Its policy is fair queuing with a fill window (FQRS): classes of requests
// share the location's link for fills by weight.
//
// A [Controller] has no clock, does no I/O and starts no goroutine. The host passes it each [Event] with the
// time at which it happened, and carries out the [Action] values that it appends. The same settings, seed
// and events give the same actions. A Controller is not safe for concurrent use.
//
// Settings, events and actions are in the files of these names. Each other file holds one decision:
//
//   - admission.go: whether a request is sent, queued or rejected
//   - fair_queue.go: which queued request is sent next
//   - fill_window.go: when a fill may start
//   - cache_selection.go: which cache a request goes to
//   - fill_source.go: which source a cache fills a missing object from
//   - attempts.go: sending attempts, and handling their results and timeouts
//   - retry.go: which requests may be retried, and until when
//   - endpoints.go: the endpoint list, and which endpoints may be sent requests
//   - outlier.go: which endpoints are ejected, and health checks
//   - load_report.go: how much capacity the link of an endpoint has left
//   - slow_start.go: how much load an endpoint may be sent after its start
//   - freshness.go: which copies may be served, and which cache is known to hold one
//   - estimators.go: moving averages and the other learned quantities
//   - controller.go: the state, the events and the timers
package control
