package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"turnfork.dev/turnfork/internal/durable"
)

// Overrides are the settings that operators have made by hand: the excluded endpoints, and the drain of the gateway. The field
// names in the file are those of the first version, where the revision was called "change".
type Overrides struct {
	Format   int      `json:"format"`
	Revision uint64   `json:"change"` // incremented by each update
	Disabled []uint32 `json:"disabled"`
	Draining bool     `json:"draining"`
}

// ErrCorrupt means that an overrides file is damaged.
var ErrCorrupt = errors.New("overrides file corrupt")

var (
	errUnknownFormat = errors.New("unknown format")
	errOutdatedCopy  = errors.New("copy of an older revision, or missing")
)

// The overrides are stored in two copies: an update writes the file and, once that is on disk, the backup.
const (
	overridesName = "orders.json"
	backupName    = "orders.backup.json"
	lockName      = "lock" // held by the process that updates

	format            = 1
	maxFileSize       = 1 << 20
	maxDisabled       = 1 << 14 // excluded endpoints
	lockRetryInterval = 2 * time.Millisecond
)

// Read returns the stored overrides, or empty ones if the folder contains none.
func (r *Registry) Read() (Overrides, error) {
	if r == nil {
		return Overrides{}, nil
	}
	overrides, _, err := r.readCopy(overridesName)
	return overrides, err
}

// Load returns the overrides for a process that starts: from their file, or from the backup if the file is damaged or missing.
// If one copy is damaged, missing or outdated, incomplete describes it, and the caller has to write the overrides again. If
// neither copy can be used, the error names the file.
func (r *Registry) Load() (overrides Overrides, incomplete, err error) {
	if r == nil {
		return Overrides{}, nil, nil
	}
	overrides, found, err := r.readCopy(overridesName)
	backup, backupFound, backupErr := r.readCopy(backupName)
	switch {
	case err != nil && !errors.Is(err, ErrCorrupt):
		return Overrides{}, nil, err
	case err == nil && !found && backupErr == nil && !backupFound:
		return Overrides{}, nil, nil // no override has ever been stored
	case err == nil && found:
		if backupErr == nil && backup.Revision != overrides.Revision {
			backupErr = fmt.Errorf("%s: %w", r.path(backupName), errOutdatedCopy)
		}
		return overrides, backupErr, nil
	case backupErr == nil && backupFound:
		if err == nil {
			err = fmt.Errorf("%s: %w", r.path(overridesName), os.ErrNotExist)
		}
		return backup, err, nil
	}
	return Overrides{}, nil, errors.Join(err, backupErr)
}

func (r *Registry) path(name string) string { return filepath.Join(r.dir, name) }

// readCopy reads one of the two copies of the overrides. Errors name the file.
func (r *Registry) readCopy(name string) (overrides Overrides, found bool, err error) {
	file, err := os.Open(r.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return Overrides{}, false, nil
	}
	if err != nil {
		return Overrides{}, false, err
	}
	defer file.Close()
	text, err := io.ReadAll(io.LimitReader(file, maxFileSize+1))
	if err != nil {
		return Overrides{}, false, err
	}
	overrides, err = decodeOverrides(text)
	if err != nil {
		return Overrides{}, false, fmt.Errorf("%s: %w", r.path(name), err)
	}
	return overrides, true, nil
}

// decodeOverrides decodes and checks the content of a file.
func decodeOverrides(text []byte) (overrides Overrides, err error) {
	if len(text) > maxFileSize {
		return Overrides{}, fmt.Errorf("%w: more than %d bytes", ErrCorrupt, maxFileSize)
	}
	if err := json.Unmarshal(text, &overrides); err != nil {
		return Overrides{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if overrides.Format != format || len(overrides.Disabled) > maxDisabled {
		return Overrides{}, fmt.Errorf("%w: %w", ErrCorrupt, errUnknownFormat)
	}
	slices.Sort(overrides.Disabled)
	overrides.Disabled = slices.Compact(overrides.Disabled)
	return overrides, nil
}

// Update changes the overrides on disk, one process at a time. It starts from the latest of the copies on disk and inForce, the
// overrides in force in this process. The file is replaced atomically, so that a reader sees the old or the new one, also after
// a crash. After an error the file may or may not have changed, and the caller has to repeat the update.
func (r *Registry) Update(ctx context.Context, inForce Overrides, alter func(*Overrides)) (Overrides, error) {
	return r.UpdateWithCallback(ctx, inForce, alter, func() {})
}

// UpdateWithCallback is Update with a callback: it calls placed once the sibling processes can read the overrides, before
// the sync.
func (r *Registry) UpdateWithCallback(
	ctx context.Context, inForce Overrides, alter func(*Overrides), placed func(),
) (overrides Overrides, err error) {
	if r == nil {
		alter(&inForce)
		return inForce, nil
	}
	lock, err := r.lockFile(ctx)
	if err != nil {
		return Overrides{}, err
	}
	defer lock.Close() // releases the lock
	overrides, err = r.latest(inForce)
	if err != nil {
		return overrides, err
	}
	alter(&overrides)
	overrides.Format = format
	overrides.Revision++
	return overrides, r.writeCopies(overrides, placed)
}

// latest returns the stored overrides, or inForce if that is of a later revision: the files may be damaged, missing or outdated.
func (r *Registry) latest(inForce Overrides) (Overrides, error) {
	stored, _, err := r.Load()
	if err != nil && !errors.Is(err, ErrCorrupt) {
		return Overrides{}, err
	}
	if err != nil || stored.Revision < inForce.Revision {
		return inForce, nil
	}
	return stored, nil
}

// lockFile acquires the lock for updates, which the process holds until it closes the returned file.
func (r *Registry) lockFile(ctx context.Context) (*os.File, error) {
	lock, err := os.OpenFile(r.path(lockName), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for {
		err := tryLock(lock)
		if err == nil {
			return lock, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			lock.Close()
			return nil, err
		}
		select {
		case <-ctx.Done():
			lock.Close()
			return nil, ctx.Err()
		case <-time.After(lockRetryInterval):
		}
	}
}

// writeCopies writes the file and then the backup; placed is called once the file can be read.
func (r *Registry) writeCopies(overrides Overrides, placed func()) error {
	text, err := json.Marshal(overrides)
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if err := durable.WriteFileSyncLast(r.files, r.path(overridesName), text, 0o600, placed); err != nil {
		return err
	}
	return durable.WriteFile(r.files, r.path(backupName), text, 0o600)
}
