package turnfork

import (
	"context"
	"net"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/core"
	"turnfork.dev/turnfork/internal/durable"
	"turnfork.dev/turnfork/internal/handover"
)

const (
	siblingCheckInterval = 50 * time.Millisecond // well below the grace period of a disabled endpoint
	stallLogThreshold    = 500 * time.Millisecond
	siblingReadTimeout   = 200 * time.Millisecond // for one check of the siblings' overrides
	enterRetryInterval   = time.Second            // while the shared folder can't be written
)

// folderNameChars are the characters that folderName keeps.
const folderNameChars = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-"

// openRegistry registers the process in the folder that the processes of a gateway share. If the folder can't be written at
// present, the process serves nevertheless, applies the overrides that can be read there, and registers later. The result is
// nil, so that the process has no siblings, without a shared folder and with a port chosen by the system, because no other
// process can listen on the same one.
func openRegistry(dir string, files durable.FileSystem, node config.Node, suffix string, log zerolog.Logger) *handover.Registry {
	if dir == "" || listensOnAnyPort(node) {
		return nil
	}
	if files == nil {
		files = durable.OS
	}
	folder := folderName("turnfork_" + node.Name + "_" + node.Listen + suffix)
	registry := handover.New(filepath.Join(dir, folder), files)
	if err := registry.Enter(); err != nil {
		log.Error().Err(err).Msg("shared folder not writable")
	}
	return registry
}

func listensOnAnyPort(node config.Node) bool {
	_, port, err := net.SplitHostPort(node.Listen)
	return err == nil && port == "0" && node.SocketFD == 0
}

// folderName replaces the characters that may not occur in the name of a folder.
func folderName(text string) string {
	replace := func(r rune) rune {
		if strings.ContainsRune(folderNameChars, r) {
			return r
		}
		return '_'
	}
	return strings.Map(replace, text)
}

// enterRegistry retries the registration in the shared folder until it succeeds or ctx ends.
func (a *adminState) enterRegistry(ctx context.Context) {
	if a.registry == nil || a.registry.Entered() {
		return
	}
	ticker := time.NewTicker(enterRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if a.registry.Enter() == nil {
			a.log.Info().Msg("shared folder writable")
			return
		}
	}
}

// logFileError logs an error of the shared folder unless it repeats the previous one.
func (a *adminState) logFileError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text != "" && text != a.lastFileError {
		a.log.Error().Err(err).Msg("shared folder not readable")
	}
	a.lastFileError = text
}

// watchSiblings polls the sibling processes and their overrides until ctx ends. A process that gets no processor time and a
// slow shared folder have the same effect on other processes, so each is logged by its own message.
func (a *adminState) watchSiblings(ctx context.Context) {
	if a.registry == nil {
		return
	}
	ticker := time.NewTicker(siblingCheckInterval)
	defer ticker.Stop()
	for {
		idleSince := time.Now()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		checkStarted := time.Now()
		if idle := checkStarted.Sub(idleSince); idle > stallLogThreshold {
			a.log.Warn().Dur("duration_ms", idle).Msg("process stalled")
		}
		a.refreshSiblings()
		a.applySiblingOverrides(ctx)
		if took := time.Since(checkStarted); took > stallLogThreshold {
			a.log.Warn().Dur("duration_ms", took).Msg("shared folder slow")
		}
	}
}

// refreshSiblings counts the sibling processes, and divides the limits anew when their number has changed.
func (a *adminState) refreshSiblings() {
	siblings, err := a.registry.Siblings()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.logFileError(err)
	if err != nil || siblings == a.siblings {
		return
	}
	a.log.Info().Int("serving", siblings.Serving).Int("shutting_down", siblings.ShuttingDown).Msg("sibling processes changed")
	before := a.processCount()
	a.siblings = siblings
	if after := a.processCount(); after != before {
		a.setProcessCount(after)
	}
}

// processCount returns the number of processes of this gateway. The caller holds mu.
func (a *adminState) processCount() int { return 1 + a.siblings.Serving + a.siblings.ShuttingDown }

// noSiblingServes reports whether no sibling process serves.
func (a *adminState) noSiblingServes() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.siblings.Serving == 0
}

// applySiblingOverrides applies overrides that a sibling process has written. After a failure the next poll retries.
func (a *adminState) applySiblingOverrides(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, siblingReadTimeout)
	defer cancel()
	stored, err := a.registry.Read() // without the lock, so that no override waits for the disk
	if !a.lock(ctx) {
		return
	}
	defer a.unlock()
	a.mu.Lock()
	a.logFileError(err)
	inForce := a.overrides
	pendingWrite := a.pendingWrite.clone()
	a.mu.Unlock()
	if err != nil || stored.Revision <= inForce.Revision {
		return
	}
	pendingWrite.applyTo(&stored) // the file lacks these changes and must not undo them
	a.log.Info().Uint64("revision", stored.Revision).Msg("sibling overrides received")
	if a.excludeChanged(ctx, inForce.Disabled, stored.Disabled) != nil {
		return
	}
	a.mu.Lock()
	a.overrides.Revision = stored.Revision
	a.mu.Unlock()
	a.setOverrides(stored)
}

// excludeChanged readmits the endpoints that are no longer disabled, and excludes the newly disabled ones.
func (a *adminState) excludeChanged(ctx context.Context, before, after []uint32) error {
	for _, id := range before {
		if slices.Contains(after, id) {
			continue
		}
		if err := a.exclude(ctx, core.Exclude{Endpoint: id, Excluded: false, SkipListedCheck: true}); err != nil {
			return err
		}
	}
	for _, id := range after {
		if slices.Contains(before, id) {
			continue
		}
		if err := a.exclude(ctx, core.Exclude{Endpoint: id, Excluded: true, SkipListedCheck: true}); err != nil {
			return err
		}
	}
	return nil
}
