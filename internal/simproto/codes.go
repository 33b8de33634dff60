package simproto

import (
	"math"

	"turnfork.dev/turnfork/control"
)

// Codes of the events in a frame.
const (
	codeEndpointList      = 256
	codeStart             = 257
	codeResponseStarted   = 258
	codeClientGone        = 259
	codeHealthCheckResult = 260
	codeTimerFired        = 261
	codeAttemptResult     = 262
	codePurged            = 263
	codePeerMessage       = 264
	codeStop              = 265
	codeRequest           = 266
)

// Codes of the actions in a reply.
const (
	actionReject           = 257
	actionFail             = 258
	actionCancel           = 259
	actionSetTimer         = 260
	actionHealthCheck      = 261
	actionRefreshEndpoints = 266
	actionAttempt          = 268
)

// Modes of an endpoint list.
const (
	listSnapshot       = 0
	listFailed         = 1
	listCachedSnapshot = 2
	listDelta          = 3
)

// Flags of a request.
const (
	requestIsRetry = 2
	requestIsWrite = 4
)

// Flags of an attempt.
const (
	attemptJoinsFill  = 1
	attemptCachedOnly = 2
)

// refreshOnce is the argument of the action that requests the endpoint list.
const refreshOnce = 1

const (
	minRecordBytes = 6  // code and instance
	endpointBytes  = 21 // one entry of an endpoint list

	// maxSeconds bounds a time, so that the sum of two does not overflow a time.Duration.
	maxSeconds = float64(math.MaxInt64/2) / 1e9
)

// outcomes maps the codes of the wire to the outcomes of attempts and health checks.
var outcomes = map[byte]control.Outcome{
	0:   control.OK,
	1:   control.Miss,
	249: control.NotSent,
	250: control.Canceled,
	251: control.ConnectionLost,
	252: control.ConnectFailed,
	253: control.TimedOut,
	254: control.Overloaded,
	255: control.ServerError,
}

// Names of the load report values, as report.fields of the settings lists them.
const (
	reportInFlight        = "inflight"
	reportUtilization     = "util"
	reportHitRate         = "x0"
	reportLinkUtilization = "x1"
)
