package turnfork

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/adminapi"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/internal/durable"
	"turnfork.dev/turnfork/internal/handover"
	"turnfork.dev/turnfork/replica"
)

// storageFault is a failing file system call and its error.
type storageFault struct {
	call string
	err  error
}

// failingFiles is the system's file system, which fails while a fault is set.
type failingFiles struct {
	durable.FileSystem
	fault atomic.Pointer[storageFault]
	hang  atomic.Pointer[chan struct{}] // a sync blocks until this is closed; nil: it doesn't block
}

func newFailingFiles() *failingFiles { return &failingFiles{FileSystem: durable.OS} }

// injectedError returns the error of a call; nil: it succeeds.
func (f *failingFiles) injectedError(call string) error {
	if fault := f.fault.Load(); fault != nil && fault.call == call {
		return &os.PathError{Op: call, Path: "orders", Err: fault.err}
	}
	return nil
}

func (f *failingFiles) Create(path string, mode os.FileMode) (durable.File, error) {
	if err := f.injectedError("create"); err != nil {
		return nil, err
	}
	file, err := f.FileSystem.Create(path, mode)
	return &failingFile{file, f}, err
}

func (f *failingFiles) Rename(from, to string) error {
	if err := f.injectedError("rename"); err != nil {
		return err
	}
	return f.FileSystem.Rename(from, to)
}

func (f *failingFiles) SyncDir(path string) error {
	if err := f.injectedError("syncdir"); err != nil {
		return err
	}
	return f.FileSystem.SyncDir(path)
}

// failingFile is a file of failingFiles. A failed write leaves a part of its data behind.
type failingFile struct {
	durable.File
	files *failingFiles
}

func (f *failingFile) Write(b []byte) (int, error) {
	if err := f.files.injectedError("write"); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *failingFile) Sync() error {
	if resume := f.files.hang.Load(); resume != nil {
		<-*resume
	}
	if err := f.files.injectedError("fsync"); err != nil {
		return err
	}
	return f.File.Sync()
}

// persistentGateway is a gateway with a shared folder. It can be stopped and started again as after a kill, because it writes
// nothing when it stops.
type persistentGateway struct {
	*testing.T
	listen, shared string
	files          *failingFiles
	adminURL       string
	end            func()
}

func newPersistentGateway(t *testing.T) *persistentGateway {
	reserved, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	reserved.Close()
	g := &persistentGateway{T: t, listen: reserved.Addr().String(), shared: t.TempDir(), files: newFailingFiles()}
	t.Cleanup(func() {
		if g.end != nil {
			g.end()
		}
	})
	return g
}

func (g *persistentGateway) start() {
	g.Helper()
	if err := g.run(); err != nil {
		g.Fatal(err)
	}
}

// run starts the gateway, or returns the error of its start.
func (g *persistentGateway) run() error {
	g.Helper()
	text := fmt.Sprintf(coldEndpointConfig, 7919, "127.0.0.1:1", 1, int64(0), 0, 1, 1)
	node, err := config.Parse([]byte(strings.Replace(text, "127.0.0.1:0", g.listen, 1)), "", "")
	if err != nil {
		return err
	}
	node.AdminAddr = "127.0.0.1:0"
	ctx, stop := context.WithCancel(context.Background())
	ready, ended := make(chan Addrs, 1), make(chan error, 1)
	go func() {
		ended <- Run(ctx, Config{
			Node: node, Log: zerolog.Nop(), SharedDir: g.shared, files: g.files, Ready: func(a Addrs) { ready <- a },
		})
	}()
	select {
	case addrs := <-ready:
		g.adminURL = "http://" + addrs.Admin.String()
	case err := <-ended:
		stop()
		return err
	}
	g.end = func() { stop(); <-ended; g.end = nil }
	return nil
}

// call makes an admin call, and returns the status and the state in the response.
func (g *persistentGateway) call(method, path, body string) (status int, state adminapi.State) {
	g.Helper()
	request, err := http.NewRequest(method, g.adminURL+path, strings.NewReader(body))
	if err != nil {
		g.Fatal(err)
	}
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		g.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err == nil && answer.StatusCode == 200 || path == "/ready" {
		err = json.Unmarshal(text, &state)
	}
	if err != nil {
		g.Fatalf("%s: %v", text, err)
	}
	return answer.StatusCode, state
}

func (g *persistentGateway) state() adminapi.State {
	g.Helper()
	_, state := g.call("GET", "/ready", "")
	return state
}

// await polls the state until it meets a condition.
func (g *persistentGateway) await(what string, ok func(adminapi.State) bool) {
	g.Helper()
	for limit := time.Now().Add(30 * time.Second); !ok(g.state()); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(limit) {
			g.Fatalf("not within 30 s: %s: %+v", what, g.state())
		}
	}
}

// folder returns the folder that the processes of the gateway share.
func (g *persistentGateway) folder() string {
	g.Helper()
	found, err := filepath.Glob(filepath.Join(g.shared, "turnfork_*"))
	if err != nil || len(found) != 1 {
		g.Fatal(found, err)
	}
	return found[0]
}

const (
	coldEndpoint = "s-0000000a"
	disableBody  = `{"id":"` + coldEndpoint + `"}`
)

// storageFaults are the faults of calls that write overrides.
var storageFaults = []storageFault{
	{"create", syscall.ENOSPC}, {"write", syscall.ENOSPC}, {"write", syscall.EIO}, {"fsync", syscall.EIO},
	{"fsync", syscall.ENOSPC}, {"rename", syscall.ENOSPC}, {"syncdir", syscall.EIO},
}

// An override that can't be written is in force, and is reported as not durable. It is written once the disk works again, so that
// it is in force after a kill and restart.
func TestOverrideIsWrittenAfterDiskRecovers(t *testing.T) {
	for _, fault := range storageFaults {
		t.Run(fault.call+" "+fault.err.Error(), func(t *testing.T) {
			g := newPersistentGateway(t)
			g.start()
			if state := g.state(); !state.Durable || len(state.Storage) > 0 {
				t.Fatalf("before an override: %+v", state)
			}
			g.files.fault.Store(&fault)
			begun := time.Now()
			status, state := g.call("PUT", "/stores/disable", disableBody)
			if took := time.Since(begun); status != 200 || took > time.Second {
				t.Fatalf("%d after %v", status, took)
			}
			if state.Durable || len(state.Storage) != 1 || !strings.Contains(state.Storage[0], fault.err.Error()) {
				t.Errorf("reported as durable: %+v", state)
			}
			if !state.Ready || !slices.Equal(state.Disabled, []string{coldEndpoint}) {
				t.Errorf("%+v", state)
			}
			g.files.fault.Store(nil)
			g.await("durable", func(s adminapi.State) bool { return s.Durable && len(s.Storage) == 0 })
			g.end()
			g.start()
			if state := g.state(); !slices.Equal(state.Disabled, []string{coldEndpoint}) || !state.Durable {
				t.Errorf("after a restart: %+v", state)
			}
		})
	}
}

// The operating system itself returns the error here: a folder has the path of the overrides file.
func TestOverrideIsWrittenOncePathIsFree(t *testing.T) {
	g := newPersistentGateway(t)
	g.start()
	blockingFolder := filepath.Join(g.folder(), "orders.json")
	if err := os.MkdirAll(filepath.Join(blockingFolder, "more"), 0o700); err != nil {
		t.Fatal(err)
	}
	if status, _ := g.call("PUT", "/stores/disable", disableBody); status != 200 {
		t.Fatal(status)
	}
	if err := os.RemoveAll(blockingFolder); err != nil {
		t.Fatal(err)
	}
	limit := time.Now().Add(10 * time.Second)
	for _, err := os.Stat(blockingFolder); err != nil; _, err = os.Stat(blockingFolder) {
		if time.Now().After(limit) {
			t.Fatal("overrides not written within 10 s")
		}
		time.Sleep(5 * time.Millisecond)
	}
	g.end()
	g.start()
	if state := g.state(); !slices.Equal(state.Disabled, []string{coldEndpoint}) {
		t.Errorf("after a restart: %+v", state)
	}
}

// While a sibling process is alive, an override that can't be written is in force here, but the call returns 503. The sibling can
// read the override once the disk works. An override that the sibling writes meanwhile takes effect here too, and undoes nothing.
func TestUnwrittenOverrideReachesSibling(t *testing.T) {
	g := newPersistentGateway(t)
	g.start()
	other, err := handover.Open(g.folder())
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	g.await("two processes", func(s adminapi.State) bool { return s.Processes == 2 })
	g.files.fault.Store(&storageFault{"write", syscall.ENOSPC})
	if status, _ := g.call("PUT", "/stores/disable", disableBody); status != 503 {
		t.Errorf("the sibling can't read the override: %d", status)
	}
	if state := g.state(); !slices.Equal(state.Disabled, []string{coldEndpoint}) || state.Durable {
		t.Errorf("%+v", state)
	}
	if _, err := other.Update(t.Context(), handover.Overrides{}, func(s *handover.Overrides) { s.Draining = true }); err != nil {
		t.Fatal(err)
	}
	g.await("drained by the sibling", func(s adminapi.State) bool { return s.Draining })
	if state := g.state(); !slices.Equal(state.Disabled, []string{coldEndpoint}) || state.Durable {
		t.Errorf("%+v", state)
	}
	g.files.fault.Store(nil)
	g.await("durable", func(s adminapi.State) bool { return s.Durable })
	s, err := other.Read()
	if err != nil || !slices.Equal(s.Disabled, []uint32{10}) || !s.Draining {
		t.Errorf("%+v %v", s, err)
	}
}

// If only the sync fails or blocks, the sibling process can read the override, so the call succeeds within the time limit and
// reports that the override is not durable.
func TestUnsyncedOverrideReachesSibling(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin func(*failingFiles) (end func())
	}{
		{"sync fails", func(files *failingFiles) func() {
			files.fault.Store(&storageFault{"fsync", syscall.EIO})
			return func() { files.fault.Store(nil) }
		}},
		{"sync blocks", func(files *failingFiles) func() {
			resume := make(chan struct{})
			files.hang.Store(&resume)
			return func() { files.hang.Store(nil); close(resume) }
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newPersistentGateway(t)
			g.start()
			other, err := handover.Open(g.folder())
			if err != nil {
				t.Fatal(err)
			}
			defer other.Close()
			g.await("two processes", func(s adminapi.State) bool { return s.Processes == 2 })
			end := test.begin(g.files)
			begun := time.Now()
			status, state := g.call("PUT", "/stores/disable", disableBody)
			if took := time.Since(begun); status != 200 || took > time.Second || state.Durable {
				t.Errorf("%d after %v: %+v", status, took, state)
			}
			if s, err := other.Read(); err != nil || !slices.Equal(s.Disabled, []uint32{10}) {
				t.Errorf("the sibling reads %+v, %v", s, err)
			}
			end()
			g.await("durable", func(s adminapi.State) bool { return s.Durable })
		})
	}
}

// Of several overrides that can't be written, the latest of each kind is written once the disk works.
func TestLatestUnwrittenOverridesAreWritten(t *testing.T) {
	g := newPersistentGateway(t)
	g.start()
	g.files.fault.Store(&storageFault{"fsync", syscall.EIO})
	for _, path := range []string{"/stores/disable", "/drain", "/stores/enable", "/undrain", "/stores/disable", "/drain"} {
		if status, state := g.call("PUT", path, disableBody); status != 200 || state.Durable {
			t.Errorf("%s: %d %+v", path, status, state)
		}
	}
	g.files.fault.Store(nil)
	g.await("durable", func(s adminapi.State) bool { return s.Durable })
	s, err := handover.New(g.folder(), durable.OS).Read()
	if err != nil || !slices.Equal(s.Disabled, []uint32{10}) || !s.Draining {
		t.Errorf("%+v %v", s, err)
	}
}

// The shared folder is unavailable at the start of a process. Overrides given meanwhile are in force, and once the folder is
// available they are written together with those stored before.
func TestStartWhileSharedFolderIsUnavailable(t *testing.T) {
	g := newPersistentGateway(t)
	g.start()
	if status, state := g.call("PUT", "/stores/disable", disableBody); status != 200 || !state.Durable {
		t.Fatalf("%d %+v", status, state)
	}
	folder := g.folder()
	g.end()
	kept := folder + ".kept"
	if err := errors.Join(os.Rename(folder, kept), os.WriteFile(folder, nil, 0o600)); err != nil {
		t.Fatal(err)
	}
	g.start()
	if status, state := g.call("PUT", "/drain", ""); status != 200 || state.Durable {
		t.Errorf("%d %+v", status, state)
	}
	if err := errors.Join(os.Remove(folder), os.Rename(kept, folder)); err != nil {
		t.Fatal(err)
	}
	g.await("durable", func(s adminapi.State) bool { return s.Durable })
	s, err := handover.New(folder, durable.OS).Read()
	if err != nil || !slices.Equal(s.Disabled, []uint32{10}) || !s.Draining {
		t.Errorf("%+v %v", s, err)
	}
}

// failingLogs is a voter's log, whose writes fail while a fault is set.
type failingLogs struct {
	replica.LogDatabase
	fault *atomic.Pointer[storageFault]
}

func (f failingLogs) write(do func() error) error {
	if fault := f.fault.Load(); fault != nil {
		return &os.PathError{Op: fault.call, Path: "raft.db", Err: fault.err}
	}
	return do()
}

func (f failingLogs) StoreLog(entry *raft.Log) error { return f.StoreLogs([]*raft.Log{entry}) }

func (f failingLogs) StoreLogs(entries []*raft.Log) error {
	return f.write(func() error { return f.LogDatabase.StoreLogs(entries) })
}

func (f failingLogs) DeleteRange(first, last uint64) error {
	return f.write(func() error { return f.LogDatabase.DeleteRange(first, last) })
}

func (f failingLogs) Set(key, value []byte) error {
	return f.write(func() error { return f.LogDatabase.Set(key, value) })
}

func (f failingLogs) SetUint64(key []byte, value uint64) error {
	return f.write(func() error { return f.LogDatabase.SetUint64(key, value) })
}

// The disk of a voting gateway fails while the group needs it for a majority. The gateway must keep serving requests that need no
// disk, stay ready, report the fault, and reject single-use requests with Retry-After. It accepts them again once the disk works.
func TestVoterDiskFails(t *testing.T) {
	for _, fault := range []storageFault{{"write", syscall.ENOSPC}, {"fsync", syscall.EIO}} {
		t.Run(fault.err.Error(), func(t *testing.T) {
			failing := &atomic.Pointer[storageFault]{}
			s := newVotingGatewayWithLog(t, func(path string) (replica.LogDatabase, error) {
				database, err := replica.OpenLogDatabase(path)
				return failingLogs{database, failing}, err
			})
			s.await("fresh", func() bool { return s.subscription().Fresh })
			if status := s.postRideEnd("before"); status != http.StatusOK {
				t.Fatalf("ride-end before the fault: %d", status)
			}
			failing.Store(&fault)
			s.stores[0].Close()
			sent := len(s.endpoint.Commands("GET"))
			answer, err := http.Post("http://"+s.addrs.Signed.String()+s.url("refused"), "", nil)
			if err != nil {
				t.Fatal(err)
			}
			answer.Body.Close()
			if answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
				t.Errorf("ride-end during the fault: %d, %v", answer.StatusCode, answer.Header)
			}
			if len(s.endpoint.Commands("GET")) != sent {
				t.Error("the rejected ride-end was sent to the endpoint")
			}
			s.await("storage error reported", func() bool { return len(s.state().Storage) == 1 })
			state := s.state()
			if !state.Ready || !strings.HasPrefix(state.Storage[0], "replica: ") || !strings.Contains(state.Storage[0], fault.err.Error()) {
				t.Errorf("%+v", state)
			}
			if status, _ := s.get(s.keys, "url", "firmware", 1); status != http.StatusOK {
				t.Errorf("read during the fault: %d", status)
			}
			failing.Store(nil)
			s.await("fresh again", func() bool { return s.subscription().Fresh && len(s.state().Storage) == 0 })
			s.await("single-use requests served", func() bool { return s.postRideEnd(fmt.Sprint("after", time.Now().UnixNano())) == http.StatusOK })
			s.openMember(0, nil, 3000)
		})
	}
}

// One copy of the overrides is truncated at a sector boundary, zeroed from there on, or lost. The other copy is used, and both
// are written again. If both are damaged, the start fails with an error that names the file.
func TestDamagedOverrideFiles(t *testing.T) {
	const sector = 512
	g := newPersistentGateway(t)
	g.start()
	if status, state := g.call("PUT", "/stores/disable", disableBody); status != 200 || !state.Durable {
		t.Fatalf("%d %+v", status, state)
	}
	folder := g.folder()
	other, err := handover.Open(folder)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := other.Update(t.Context(), handover.Overrides{}, func(s *handover.Overrides) {
		for id := range uint32(400) {
			s.Disabled = append(s.Disabled, 1000+id)
		}
	})
	if err := errors.Join(err, other.Close()); err != nil {
		t.Fatal(err)
	}
	g.end()
	names := []string{"orders.json", "orders.backup.json"}
	original, err := os.ReadFile(filepath.Join(folder, names[0]))
	if err != nil {
		t.Fatal(err)
	}
	write := func(name string, content []byte) {
		if err := os.WriteFile(filepath.Join(folder, name), content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var damaged [][]byte
	for from := 0; from < len(original); from += sector {
		zeroed := slices.Clone(original)
		clear(zeroed[from:])
		damaged = append(damaged, original[:from], zeroed)
	}
	for _, name := range names {
		for i, content := range damaged {
			write(names[0], original)
			write(names[1], original)
			write(name, content)
			s, incomplete, err := handover.New(folder, durable.OS).Load()
			if err != nil || incomplete == nil || !strings.Contains(incomplete.Error(), name) || !slices.Equal(s.Disabled, stored.Disabled) {
				t.Errorf("%s, damage %d: %v, %v, %d endpoints disabled", name, i, incomplete, err, len(s.Disabled))
			}
		}
		if err := os.Remove(filepath.Join(folder, name)); err != nil {
			t.Fatal(err)
		}
		g.start()
		g.await("durable", func(s adminapi.State) bool { return s.Durable })
		if state := g.state(); len(state.Disabled) != len(stored.Disabled) {
			t.Errorf("without %s: %d endpoints disabled", name, len(state.Disabled))
		}
		g.end()
		for _, name := range names {
			if _, err := os.Stat(filepath.Join(folder, name)); err != nil {
				t.Error(err)
			}
		}
	}
	write(names[0], original[:sector])
	write(names[1], original[:sector])
	if err := g.run(); err == nil || !strings.Contains(err.Error(), filepath.Join(folder, names[0])) {
		t.Errorf("with both damaged: %v", err)
	}
}
