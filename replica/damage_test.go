package replica

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/distribution"
)

// sector is the number of bytes that a disk writes atomically.
const sector = 512

// stoppedMember is the directory of a member that was stopped, and the values that it had acknowledged.
type stoppedMember struct {
	*cluster
	dir    string
	values map[string]string
	index  uint64 // of the newest snapshot
}

// newStoppedMember starts the only member of a group, makes changes, a snapshot and more changes, and stops it. With compacted
// the log begins after the last entry of the snapshot, as in a member that has run for long.
func newStoppedMember(t *testing.T, compacted bool) *stoppedMember {
	m := &stoppedMember{values: map[string]string{}}
	m.cluster = newCluster(t, 1, distribution.Limits{}, func(_ int, opt *Options) { opt.HeartbeatTimeout = 30 * time.Millisecond })
	put := func(from, to int) {
		for i := from; i < to; i++ {
			name, value := fmt.Sprint("name", i), strings.Repeat(fmt.Sprint(i%10), 100+37*i%700)
			m.put(name, value)
			m.values[name] = value
		}
	}
	put(0, 12)
	if err := m.stores[0].Snapshot(); err != nil {
		t.Fatal(err)
	}
	put(12, 24)
	m.stop(0)
	list, err := filepath.Glob(filepath.Join(m.dirs[0], snapshotsDir, "*"))
	if err != nil || len(list) != 1 {
		t.Fatal(list, err)
	}
	m.index = indexFromName(filepath.Base(list[0]))
	if compacted {
		s, err := openStorage(m.dirs[0], nil, zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(s.DeleteRange(1, m.index), s.Close()); err != nil {
			t.Fatal(err)
		}
	}
	m.dir = m.copyDirs()[0]
	return m
}

// open starts the member on a directory.
func (m *stoppedMember) open(dir string) (*Store, error) {
	listener, err := net.Listen("tcp", m.members[0].Addr)
	if err != nil {
		m.t.Fatal(err)
	}
	opt := Options{
		ID: m.members[0].ID, Members: m.members, Listener: listener, TLS: m.certs(), Dir: dir, Log: zerolog.Nop(),
		Clock: clock.System(), HeartbeatTimeout: 30 * time.Millisecond, Timing: testTiming,
	}
	s, err := Open(opt)
	if err != nil {
		listener.Close()
	}
	return s, err
}

// hasAll reports whether a member has all acknowledged values.
func (m *stoppedMember) hasAll(s *Store) bool {
	for name, value := range m.values {
		var got string
		if ok, err := s.Get(name, &got); !ok || err != nil || got != value {
			return false
		}
	}
	return true
}

// checkStart starts the member on a damaged directory, and checks that it either has all acknowledged values or fails to start
// with an error that names the file.
func (m *stoppedMember) checkStart(what, dir, file string) (started bool) {
	m.t.Helper()
	s, err := m.open(dir)
	if err != nil {
		if !strings.Contains(err.Error(), file) {
			m.t.Errorf("%s: the error does not name the file: %v", what, err)
		}
		return false
	}
	defer s.Close()
	eventually(m.t, what+": all acknowledged values", func() bool { return m.hasAll(s) })
	return true
}

// damagedCopy copies the directory and alters one file of the copy. The file's name is relative to the directory.
func (m *stoppedMember) damagedCopy(file string, alter func(content []byte) []byte) (dir string) {
	m.t.Helper()
	dir = filepath.Join(m.t.TempDir(), "member")
	if err := os.CopyFS(dir, os.DirFS(m.dir)); err != nil {
		m.t.Fatal(err)
	}
	path := filepath.Join(dir, file)
	content, err := os.ReadFile(path)
	if err != nil {
		m.t.Fatal(err)
	}
	if err := os.WriteFile(path, alter(content), 0o600); err != nil {
		m.t.Fatal(err)
	}
	return dir
}

// files returns the names of the member's files, relative to the directory.
func (m *stoppedMember) files() (files []string) {
	m.t.Helper()
	for _, pattern := range []string{logFile, "snapshots/*/meta.json", "snapshots/*/state.bin"} {
		list, err := filepath.Glob(filepath.Join(m.dir, pattern))
		if err != nil || len(list) == 0 {
			m.t.Fatal(pattern, list, err)
		}
		for _, path := range list {
			file, err := filepath.Rel(m.dir, path)
			if err != nil {
				m.t.Fatal(err)
			}
			files = append(files, file)
		}
	}
	return files
}

// Each file of a member is truncated at each sector, and its last page is partly overwritten: the member starts with all
// acknowledged values, or fails with an error that names the file. The undamaged member starts.
func TestDamagedFiles(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		t.Run(fmt.Sprintf("compacted=%t", compacted), func(t *testing.T) {
			m := newStoppedMember(t, compacted)
			same := func(content []byte) []byte { return content }
			if !m.checkStart("undamaged", m.damagedCopy(logFile, same), logFile) {
				t.Fatal("the undamaged member does not start")
			}
			for _, file := range m.files() {
				original, err := os.ReadFile(filepath.Join(m.dir, file))
				if err != nil {
					t.Fatal(err)
				}
				started, failed := 0, 0
				count := func(what string, alter func([]byte) []byte) {
					if m.checkStart(file+" "+what, m.damagedCopy(file, alter), file) {
						started++
					} else {
						failed++
					}
				}
				for size := 0; size < len(original); size += sector {
					count(fmt.Sprint("truncated to ", size), func(content []byte) []byte { return content[:size] })
				}
				lastPage := (len(original) - 1) / 4096 * 4096
				for from := lastPage; from < len(original); from += sector {
					for _, fill := range []byte{0, 0xff} {
						count(fmt.Sprintf("overwritten from %d with %d", from, fill), func(content []byte) []byte {
							return overwrite(content, from, len(content), fill)
						})
					}
				}
				t.Logf("%s, %d bytes: %d started, %d failed to start", filepath.Base(file), len(original), started, failed)
				if compacted && file != logFile && started > 0 {
					t.Errorf("%s is needed, but the member started although it is damaged", file)
				}
			}
		})
	}
}

// overwrite sets a part of content to fill, in place, and returns content.
func overwrite(content []byte, from, to int, fill byte) []byte {
	copy(content[from:to], bytes.Repeat([]byte{fill}, to-from))
	return content
}

// storedEntries returns the log entries in a storage.
func storedEntries(t *testing.T, s *storage) (entries []raft.Log) {
	t.Helper()
	first, err := s.FirstIndex()
	if err != nil {
		t.Fatal(err)
	}
	for index := first; index <= s.acknowledged.lastIndex; index++ {
		var entry raft.Log
		if err := s.GetLog(index, &entry); err != nil {
			t.Fatal(err)
		}
		entry.AppendedAt = time.Time{}
		entries = append(entries, entry)
	}
	return entries
}

// Each page of the log's file is overwritten from each of its sectors to its end: the file is rejected, or has the same
// entries, term and vote as before. The first sectors of the two meta pages are excepted: a process that is killed may leave
// one of them half written, and then the other is used.
func TestTornPages(t *testing.T) {
	m := newStoppedMember(t, false)
	original, err := os.ReadFile(filepath.Join(m.dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	intact, err := openStorage(m.dir, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	entries, held := storedEntries(t, intact), intact.acknowledged
	if err := intact.Close(); err != nil {
		t.Fatal(err)
	}
	const pageSize = 4096
	rejected, opened := 0, 0
	for from := 0; from < len(original); from += sector {
		if from == 0 || from == pageSize {
			continue
		}
		for _, fill := range []byte{0, 0xff} {
			dir := t.TempDir()
			to := from/pageSize*pageSize + pageSize
			torn := overwrite(bytes.Clone(original), from, min(to, len(original)), fill)
			if err := os.WriteFile(filepath.Join(dir, logFile), torn, 0o600); err != nil {
				t.Fatal(err)
			}
			s, err := openStorage(dir, nil, zerolog.Nop())
			if err != nil {
				rejected++
				if !errors.Is(err, errCorrupted) || !strings.Contains(err.Error(), logFile) {
					t.Errorf("torn from %d: %v", from, err)
				}
				continue
			}
			opened++
			got := storedEntries(t, s)
			equal := slices.EqualFunc(got, entries, func(a, b raft.Log) bool {
				return a.Index == b.Index && a.Term == b.Term && a.Type == b.Type && bytes.Equal(a.Data, b.Data)
			})
			if !equal || !s.acknowledged.covers(held) || !held.covers(s.acknowledged) {
				t.Errorf("torn from %d with %d: opened with %d entries of %d, %+v", from, fill, len(got), len(entries), s.acknowledged)
			}
			if err := s.Close(); err != nil {
				t.Error(err)
			}
		}
	}
	t.Logf("%d bytes: %d rejected, %d opened", len(original), rejected, opened)
	if rejected == 0 {
		t.Error("no damaged file was rejected")
	}
}

// A member whose log is missing beside a snapshot does not start: a new log would lack the term and the vote.
func TestLogLostBesideSnapshot(t *testing.T) {
	m := newStoppedMember(t, false)
	dir := m.damagedCopy(logFile, func(content []byte) []byte { return content })
	if err := os.Remove(filepath.Join(dir, logFile)); err != nil {
		t.Fatal(err)
	}
	s, err := m.open(dir)
	if err == nil {
		s.Close()
		t.Fatal("the member started with a new log")
	}
	if !strings.Contains(err.Error(), logFile) {
		t.Errorf("%v", err)
	}
}

// A process that was killed during a member's first start left an incomplete file: the next start creates the file again.
func TestInterruptedFirstStart(t *testing.T) {
	c := newCluster(t, 1, distribution.Limits{}, nil)
	c.stop(0)
	c.dirs[0] = t.TempDir()
	if err := os.WriteFile(filepath.Join(c.dirs[0], logFile+newSuffix), make([]byte, 3*sector), 0o600); err != nil {
		t.Fatal(err)
	}
	c.start(0, nil)
	c.put("policy", "value")
}

// Entries that an earlier version wrote without checksums can be read.
func TestEntriesWithoutChecksums(t *testing.T) {
	dir := t.TempDir()
	database, err := OpenLogDatabase(filepath.Join(dir, logFile))
	if err != nil {
		t.Fatal(err)
	}
	entry := raft.Log{Index: 1, Term: 1, Data: []byte("data")}
	if err := errors.Join(database.SetUint64(keyCurrentTerm, 1), database.StoreLog(&entry), database.Close()); err != nil {
		t.Fatal(err)
	}
	s, err := openStorage(dir, nil, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if err := s.StoreLog(&raft.Log{Index: 2, Term: 1, Data: []byte("more")}); err != nil {
		t.Fatal(err)
	}
	entries := storedEntries(t, s)
	if len(entries) != 2 || string(entries[0].Data) != "data" || string(entries[1].Data) != "more" || len(entries[1].Extensions) > 0 {
		t.Errorf("%+v", entries)
	}
}
