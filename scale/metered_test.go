package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"turnfork.dev/turnfork/replica"
)

// meteredVoters are proxies of the voters that count the data sent by the voters.
type meteredVoters struct {
	members        []replica.Member
	bytes, records atomic.Int64
	tasks          sync.WaitGroup
}

// meterVoters starts proxies of the voters. They listen at the relay's addresses, as the voters' certificates include them.
func meterVoters(t *testing.T, voters []replica.Member) *meteredVoters {
	t.Helper()
	m := &meteredVoters{}
	for i, voter := range voters {
		listener, err := net.Listen("tcp", net.JoinHostPort(relayIP(i), "0"))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		m.members = append(m.members, replica.Member{ID: voter.ID, Addr: listener.Addr().String()})
		m.tasks.Go(func() { m.accept(listener, voter.Addr) })
	}
	return m
}

func (m *meteredVoters) accept(listener net.Listener, voter string) {
	for {
		gatewayConn, err := listener.Accept()
		if err != nil {
			return
		}
		voterConn, err := net.Dial("tcp", voter)
		if err != nil {
			gatewayConn.Close()
			continue
		}
		m.tasks.Go(func() {
			defer voterConn.Close()
			io.Copy(voterConn, gatewayConn)
		})
		m.tasks.Go(func() {
			defer gatewayConn.Close()
			m.forwardCounted(gatewayConn, voterConn)
		})
	}
}

// forwardCounted forwards data from a voter to a gateway, and counts its bytes and TLS records. A protocol message takes
// one record, or several if it is long.
func (m *meteredVoters) forwardCounted(to io.Writer, from io.Reader) {
	for {
		var header [5]byte // of a TLS record: the last two bytes are its length (RFC 8446, 5.1)
		if _, err := io.ReadFull(from, header[:]); err != nil {
			return
		}
		record := append(header[:], make([]byte, int(header[3])<<8|int(header[4]))...)
		if _, err := io.ReadFull(from, record[len(header):]); err != nil {
			return
		}
		if _, err := to.Write(record); err != nil {
			return
		}
		m.bytes.Add(int64(len(record)))
		m.records.Add(1)
	}
}
