package distribution

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Domains of the parts of a digest, so that equal bytes of different kinds count as different.
const (
	digestPosition = iota
	digestConfig
	digestRevocation
)

// Digest is a checksum of configuration and revocations at Position: views of one history at one position have the same.
// It covers the revocations that still count at the latest time in the log. Of those that do not, one view has forgotten some
// that another still holds, as it goes by its clock.
func (v *View) Digest() uint64 {
	// The sum does not depend on the order of its terms, which is that of maps.
	sum := digestOf(digestPosition, "", numberBytes(uint64(v.position.Revision), v.position.Term))
	for name, value := range v.config {
		sum += digestOf(digestConfig, name, value)
	}
	for name, until := range v.revocations {
		if until >= v.latestAt {
			sum += digestOf(digestRevocation, name, numberBytes(uint64(until)))
		}
	}
	return sum
}

// digestOf is the checksum of one named value.
func digestOf(domain byte, name string, value []byte) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Write of a Digest does not fail.
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
