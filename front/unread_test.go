package front

import (
	"syscall"
	"testing"
)

// A system call that fails with EINTR must be repeated: if that counted as "nothing to read", a connection with an unread
// request could be closed.
func TestSystemCallsAreRepeatedAfterSignals(t *testing.T) {
	calls := 0
	n, err := retryOnEINTR(func() (int, error) {
		if calls++; calls < 4 {
			return -1, syscall.EINTR
		}
		return 1, nil
	})
	if n != 1 || err != nil || calls != 4 {
		t.Errorf("%d, %v after %d calls", n, err, calls)
	}
	if _, err := retryOnEINTR(func() (int, error) { return -1, syscall.EAGAIN }); err != syscall.EAGAIN {
		t.Errorf("EAGAIN was returned as %v", err)
	}
}
