package scale

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"

	"turnfork.dev/turnfork/replica"
)

// meteredVoters are addresses that lead to the voters and count what comes back from there.
type meteredVoters struct {
	members        []replica.Member
	bytes, records atomic.Int64
	tasks          sync.WaitGroup
}

// meterVoters listens at the relay's addresses, which the voters' certificates name.
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

// carry brings what a voter sends to a gateway, and counts its bytes and TLS records. A message of the protocol makes a
// record or, where it is long, several.
func (m *meteredVoters) forwardCounted(to io.Writer, from io.Reader) {
	for {
		var header [5]byte // of a record: its length is in the last two bytes (RFC 8446, 5.1)
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
