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

// fakeFrontend records whether it is drained.
type fakeFrontend struct{ draining bool }

func (f *fakeFrontend) Serve(context.Context, net.Listener) error { return nil }
func (f *fakeFrontend) OpenRequests() int                         { return 0 }

func (*fakeFrontend) BufferedBytes() (requests, responses int64) { return 0, 0 }
func (f *fakeFrontend) Conns() int                               { return 0 }
func (f *fakeFrontend) Drain(on bool)                            { f.draining = on }
func (f *fakeFrontend) Stop()                                    {}
func (f *fakeFrontend) HandOver(func() (*net.UnixConn, error))   {}
func (f *fakeFrontend) SetProcessShare(int, int)                 {}

// An override is in force even while it can't be written, because a disk stalls or a sibling process holds the lock. Without a
// sibling the caller gets no error; with a sibling, which can't read the override yet, it gets one. The override is written once
// that is possible, and overrides read meanwhile do not undo it.
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
	if err := admin.SetDraining(ctx, true); err != nil || !f.draining || !admin.State().Draining {
		t.Errorf("without siblings: %v, frontend draining %t, %+v", err, f.draining, admin.State())
	}
	admin.mu.Lock()
	admin.siblings.Serving = 1
	admin.mu.Unlock()
	if err := admin.SetDraining(ctx, true); err == nil || !admin.State().Draining {
		t.Errorf("with a sibling that can't read the override: %v", err)
	}
	if admin.applySiblingOverrides(ctx); !admin.State().Draining {
		t.Error("the stored overrides undid a pending one")
	}
	lock.Close()
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(time.Millisecond) {
		s, err := registry.Read()
		if admin.mu.Lock(); err == nil && s.Draining && admin.pendingWrite.count() == 0 && admin.overrides.Revision == s.Revision {
			admin.mu.Unlock()
			break
		}
		if admin.mu.Unlock(); time.Now().After(end) {
			t.Fatalf("override not written within 30 s: %+v %v", s, err)
		}
	}
	if err := admin.SetDraining(ctx, false); err != nil || f.draining {
		t.Errorf("undrain: %v, frontend draining %t", err, f.draining)
	}
}
