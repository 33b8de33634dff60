package replica

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/hashicorp/raft"
)

// checksumPrefix begins the extensions of an entry that is stored with a checksum. Earlier versions wrote none.
const checksumPrefix = "crc1"

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// withChecksum returns a copy of an entry with a checksum, in the form in which it is stored on disk.
func withChecksum(entry *raft.Log) *raft.Log {
	checksummed := *entry
	checksummed.Extensions = binary.BigEndian.AppendUint32([]byte(checksumPrefix), checksum(entry))
	return &checksummed
}

// checksummingLogs is a database that stores single entries with a checksum.
type checksummingLogs struct{ LogDatabase }

// StoreLog stores an entry with a checksum.
func (l checksummingLogs) StoreLog(entry *raft.Log) error {
	return l.LogDatabase.StoreLog(withChecksum(entry))
}

// stripChecksum removes the checksum of an entry, and reports whether it matches. An entry without one counts as intact.
func stripChecksum(entry *raft.Log) (intact bool) {
	sum, found := bytes.CutPrefix(entry.Extensions, []byte(checksumPrefix))
	if !found {
		return true
	}
	entry.Extensions = nil
	return len(sum) == 4 && binary.BigEndian.Uint32(sum) == checksum(entry)
}

func checksum(entry *raft.Log) uint32 {
	header := binary.BigEndian.AppendUint64(nil, entry.Index)
	header = binary.BigEndian.AppendUint64(header, entry.Term)
	return crc32.Update(crc32.Checksum(append(header, byte(entry.Type)), castagnoli), castagnoli, entry.Data)
}

// verifyEntries verifies that the log has no gap, that its entries match their checksums, and that their terms ascend up to the
// current one.
func verifyEntries(database LogDatabase, stored durableState) error {
	first, err := database.FirstIndex()
	if err != nil {
		return err
	}
	var term uint64
	for index := first; first > 0 && index <= stored.lastIndex; index++ {
		var entry raft.Log
		if err := database.GetLog(index, &entry); err != nil {
			return fmt.Errorf("%w: entry %d: %w", errCorrupted, index, err)
		}
		if !stripChecksum(&entry) || entry.Index != index || entry.Term < term {
			return fmt.Errorf("%w: entry %d", errCorrupted, index)
		}
		term = entry.Term
	}
	if term > stored.term || stored.voteTerm > stored.term {
		return fmt.Errorf("%w: term %d, with entries of term %d and a vote in term %d", errCorrupted, stored.term, term, stored.voteTerm)
	}
	return nil
}
