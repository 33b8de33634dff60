package turnfork

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/internal/handover"
)

// fakeFrontend notes whether it is drained.
type fakeFrontend struct{ draining bool }

func (f *fakeFrontend) Serve(context.Context, net.Listener) error { return nil }
func (f *fakeFrontend) Open() int                                 { return 0 }
func (f *fakeFrontend) Conns() int                                { return 0 }
func (f *fakeFrontend) Drain(on bool)                             { f.draining = on }
func (f *fakeFrontend) Stop()                                     {}
func (f *fakeFrontend) HandOver(func() (*net.UnixConn, error))    {}
func (f *fakeFrontend) SetProcessShare(int, int)                  {}

// An override is in force though it can't be written, as while a disk stalls or a sibling process keeps the lock: without a
// sibling its caller gets no error; with one, which can't know of it yet, an error. It is written once that can be, and nothing
// read meanwhile undoes it.
func TestOverrideInForceBeforeItIsWritten(t *testing.T) {
	dir := t.TempDir()
	registry, err := handover.Open(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer registry.Close()
	lock, err := os.OpenFile(filepath.Join(dir, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer lock.Close()
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
	f := &fakeFrontend{}
	admin := newAdminState(nil, registry, zerolog.Nop())
	admin.frontends, admin.openRequests = []frontend{f}, func() int { return 0 }
	ctx, end := context.WithCancel(context.Background())
	defer end()
	go admin.runWriter(ctx)
	if err := admin.Drain(ctx, true); err != nil || !f.draining || !admin.State().Draining {
		t.Errorf("alone: %v, front %t, %+v", err, f.draining, admin.State())
	}
	admin.mu.Lock()
	admin.siblings.Serving = 1
	admin.mu.Unlock()
	if err := admin.Drain(ctx, true); err == nil || !admin.State().Draining {
		t.Errorf("with another process that can't be told: %v", err)
	}
	if admin.applySiblingOverrides(ctx); !admin.State().Draining {
		t.Error("what was read undid an override that waits to be written")
	}
	lock.Close()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		s, err := registry.Read()
		if admin.mu.Lock(); err == nil && s.Draining && admin.pendingWrite.count() == 0 && admin.overrides.Revision == s.Revision {
			admin.mu.Unlock()
			break
		}
		if admin.mu.Unlock(); time.Now().After(end) {
			t.Fatalf("never written: %+v %v", s, err)
		}
	}
	if err := admin.Drain(ctx, false); err != nil || f.draining {
		t.Errorf("%v, front %t", err, f.draining)
	}
}
