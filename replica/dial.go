package replica

import (
	"context"
	"crypto/tls"
	"net"
)

// DialFunc opens a connection, over which the caller performs the TLS handshake.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialer opens connections to members.
type dialer struct {
	tls  *tls.Config
	open DialFunc
}

// newDialer returns a dialer. A nil open means TCP.
func newDialer(conf *tls.Config, open DialFunc) dialer {
	if open == nil {
		open = (&net.Dialer{}).DialContext
	}
	conf = conf.Clone()
	conf.MinVersion = tls.VersionTLS13
	conf.DynamicRecordSizingDisabled = true
	return dialer{tls: conf, open: open}
}

// dial opens a connection of a kind.
func (d dialer) dial(ctx context.Context, addr string, kind connKind) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	raw, err := d.open(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	conn := tls.Client(raw, d.configFor(addr))
	if err := conn.HandshakeContext(ctx); err != nil {
		raw.Close()
		return nil, err
	}
	if _, err := conn.Write([]byte{byte(kind)}); err != nil {
		raw.Close()
		return nil, err
	}
	return conn, nil
}

// configFor returns the TLS settings for an address: the member's certificate must name its host.
func (d dialer) configFor(addr string) *tls.Config {
	if d.tls.ServerName != "" {
		return d.tls
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return d.tls // without a server name the handshake fails
	}
	conf := d.tls.Clone()
	conf.ServerName = host
	return conf
}

// closeNow closes a connection at once. Closing TLS may block on a peer that does not read.
func closeNow(conn net.Conn) {
	if c, ok := conn.(*tls.Conn); ok {
		c.NetConn().Close()
		return
	}
	conn.Close()
}
