package replica

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc64"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/hashicorp/raft"
	"github.com/rs/zerolog"
)

// The files of Raft's FileSnapshotStore. Each snapshot has its own directory.
const (
	snapshotsDir      = "snapshots"
	snapshotMetaFile  = "meta.json"
	snapshotStateFile = "state.bin"
	partialSuffix     = ".tmp" // of the directory of a snapshot that was not completed

	// damagedPrefix begins the names of corrupted snapshots that were moved aside.
	damagedPrefix = "damaged-"
)

// snapshotMeta is the content of a snapshot's meta.json. Its names are those of the Raft library.
type snapshotMeta struct {
	raft.SnapshotMeta
	CRC []byte
}

// corruptedSnapshot is a snapshot that can't be restored.
type corruptedSnapshot struct {
	name      string // of its directory
	lastIndex uint64 // of the last log entry in it, by its name
	err       error  // names the file
}

// verifySnapshots verifies that the snapshots and the log together hold everything that was acknowledged. Corrupted snapshots
// that are not needed for that are moved aside, as the Raft library would skip some of them silently and fail at others. A
// corrupted snapshot that is needed is an error.
func verifySnapshots(dir string, logs raft.LogStore, log zerolog.Logger) error {
	newestIndex, corrupted, err := readSnapshots(filepath.Join(dir, snapshotsDir))
	if err != nil {
		return err
	}
	first, err := logs.FirstIndex()
	if err != nil {
		return err
	}
	last, err := logs.LastIndex()
	if err != nil {
		return err
	}
	knownThrough := newestIndex // index up to which the state is known
	if first > 0 && first <= newestIndex+1 {
		knownThrough = max(newestIndex, last)
	} else if first > 0 {
		return errors.Join(
			fmt.Errorf("%s: log begins at entry %d, but the newest intact snapshot ends at entry %d",
				filepath.Join(dir, logFile), first, newestIndex),
			firstError(corrupted),
		)
	}
	for _, d := range corrupted {
		if knownThrough < d.lastIndex {
			return d.err
		}
		aside := filepath.Join(dir, damagedPrefix+d.name)
		if err := os.Rename(filepath.Join(dir, snapshotsDir, d.name), aside); err != nil {
			return errors.Join(d.err, err)
		}
		log.Error().Err(d.err).Str("moved_to", aside).Msg("corrupted snapshot moved aside")
	}
	return nil
}

func firstError(corrupted []corruptedSnapshot) error {
	if len(corrupted) == 0 {
		return nil
	}
	return corrupted[0].err
}

// readSnapshots returns the last index of the newest intact snapshot, or 0 if there is none, and the corrupted snapshots.
func readSnapshots(dir string) (newestIndex uint64, corrupted []corruptedSnapshot, err error) {
	list, err := os.ReadDir(dir)
	if errors.Is(err, os.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	for _, entry := range list {
		if !entry.IsDir() || strings.HasSuffix(entry.Name(), partialSuffix) {
			continue
		}
		last, err := verifySnapshot(filepath.Join(dir, entry.Name()))
		if err != nil {
			corrupted = append(corrupted, corruptedSnapshot{name: entry.Name(), lastIndex: indexFromName(entry.Name()), err: err})
			continue
		}
		newestIndex = max(newestIndex, last)
	}
	return newestIndex, corrupted, nil
}

// indexFromName parses a snapshot's last index from the name of its directory, TERM-INDEX-TIME; 0 if it has another form.
func indexFromName(name string) uint64 {
	parts := strings.Split(name, "-")
	if len(parts) != 3 {
		return 0
	}
	index, err := strconv.ParseUint(parts[1], 10, 64)
	if err != nil {
		return 0
	}
	return index
}

// verifySnapshot verifies a snapshot, and returns the index of the last log entry in it. Errors name the file.
func verifySnapshot(dir string) (last uint64, err error) {
	path := filepath.Join(dir, snapshotMetaFile)
	text, err := os.ReadFile(path)
	if err != nil {
		return 0, err
	}
	var meta snapshotMeta
	if err := json.Unmarshal(text, &meta); err != nil {
		return 0, fmt.Errorf("%s: %w: %w", path, errCorrupted, err)
	}
	if meta.Index == 0 || meta.Index != indexFromName(filepath.Base(dir)) {
		return 0, fmt.Errorf("%s: %w", path, errCorrupted)
	}
	path = filepath.Join(dir, snapshotStateFile)
	f, err := os.Open(path)
	if err != nil {
		return 0, err
	}
	defer f.Close()
	sum := crc64.New(crc64.MakeTable(crc64.ECMA))
	size, err := io.Copy(sum, f)
	if err != nil {
		return 0, err
	}
	if size != meta.Size || !bytes.Equal(sum.Sum(nil), meta.CRC) {
		return 0, fmt.Errorf("%s: %w: size is %d of %d bytes, or the checksum does not match", path, errCorrupted, size, meta.Size)
	}
	return meta.Index, nil
}
