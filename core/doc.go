// Package core connects frontends, the controller and upstreams. A frontend (FastCGI, signed HTTP) posts a [Request];
// the core asks the decision module, [control.Controller], what to do with it, has the [Upstream] (RESP, HTTP) carry out
// the attempts, and gives the frontend exactly one final [Answer].
//
// The core owns the table of open requests and their attempts, the timers, and the controller. All of this state belongs
// to the goroutine that runs [Core.Run] and therefore needs no locks; frontends, upstreams and the admin API communicate
// with it only through [Core.Post] and [Core.PostUrgent]. The core implements no wire protocol and makes no policy
// decisions.
//
// The core guarantees, whatever the controller decides:
//   - a request gets at most one final answer;
//   - no attempt is started for a request whose client has disconnected or whose authorization has expired;
//   - two attempts of one request are never at the endpoints at the same time (see cancellation.go).
//
// A request passes these stages, one file each:
//
//	ingress.go       a Request is validated, added to the table and passed to the controller
//	actions.go       the controller's actions are carried out
//	attempts.go      an attempt is started, timed out or canceled
//	cancellation.go  a further attempt is deferred until the previous one's cancellation is confirmed
//	results.go       the result of an attempt or health check is recorded and reported to the controller
//	respond.go       the final answer is passed to the frontend
//
// In addition, endpoints.go applies changes of the endpoint list, freshness.go applies purges and limits on the age of
// copies, and trace.go logs each step of a request.
package core
