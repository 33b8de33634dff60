package turnfork

import (
	"testing"
	"time"

	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/control"
)

// For any deadlines of the classes, a process that is asked to stop has aborted its open requests and written the last responses
// before the platform may kill it.
func TestShutdownEndsBeforeTheKill(t *testing.T) {
	const (
		maxCounted = 3 * time.Second // longest deadline that the platform takes into account
		killAfter  = 700 * time.Millisecond
	)
	for _, longest := range []time.Duration{
		time.Millisecond, 20 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second, 3001 * time.Millisecond, time.Minute,
	} {
		node := config.Node{Settings: control.Settings{Classes: []control.Class{{Deadline: time.Millisecond}, {Deadline: longest}}}}
		if ends, kill := shutdownTimeout(node)+abortTimeout, min(longest, maxCounted)+killAfter; ends >= kill {
			t.Errorf("longest deadline %v: the shutdown takes %v, the kill comes after %v", longest, ends, kill)
		}
	}
}
