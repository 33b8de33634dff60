package distribution

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Domains of the entries of a digest, which keep equal bytes of different kinds apart.
const (
	digestPosition = iota
	digestConfig
	digestRevocation
)

// Digest returns a checksum of configuration and revocations at Position: it is the same for all views of one history at one
// position. It covers only the revocations that have not ended at the latest time in the log, as each view drops those that
// have ended by its own clock.
func (v *View) Digest() uint64 {
	// A sum does not depend on the order in which the maps are iterated.
	sum := entryDigest(digestPosition, "", numberBytes(uint64(v.position.Revision), v.position.Term))
	for name, value := range v.config {
		sum += entryDigest(digestConfig, name, value)
	}
	for name, until := range v.revocations {
		if until >= v.latestAt {
			sum += entryDigest(digestRevocation, name, numberBytes(uint64(until)))
		}
	}
	return sum
}

// entryDigest returns the checksum of one named value.
func entryDigest(domain byte, name string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to a Digest do not fail.
	d.Write([]byte{domain})
	d.Write(numberBytes(uint64(len(name))))
	d.WriteString(name)
	d.Write(value)
	return d.Sum64()
}

// numberBytes encodes numbers with a fixed size.
func numberBytes(numbers ...uint64) []byte {
	var encoded []byte
	for _, number := range numbers {
		encoded = binary.LittleEndian.AppendUint64(encoded, number)
	}
	return encoded
}
