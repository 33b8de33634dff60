package turnfork

import (
	"context"
	"errors"
	"net"
	"time"
)

// acceptRetryInterval is the delay after a failed accept, such as for lack of descriptors.
const acceptRetryInterval = 5 * time.Millisecond

// handoverListener accepts the Unix connections on which another process passes its connections to this one.
type handoverListener interface {
	AcceptUnix() (*net.UnixConn, error)
	Close() error
}

// listenForHandover opens the listener for connections that another process hands over, or returns nil if handover is not
// possible. Handover takes place only between processes that share an inherited listening socket; a gateway without one opens no
// Unix socket, because the fleet's benchmark forbids it (docs/fleet.md).
func (gw *gateway) listenForHandover() *net.UnixListener {
	if gw.acceptHandover == nil || gw.node.SocketFD == 0 {
		return nil
	}
	l, err := gw.registry.Listen()
	if err != nil { // such as a path too long for a socket
		gw.Log.Warn().Err(err).Msg("handover unavailable")
		return nil
	}
	return l
}

// acceptHandovers accepts handover connections from other processes until ctx ends. Of the accept errors, only that of a closed
// listener stops it; the others are retried.
func acceptHandovers(ctx context.Context, l handoverListener, accept func(*net.UnixConn)) {
	defer context.AfterFunc(ctx, func() { l.Close() })()
	for {
		conn, err := l.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			wait(ctx, acceptRetryInterval)
			continue
		}
		go accept(conn)
	}
}
