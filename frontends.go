package turnfork

import (
	"context"
	"fmt"
	"net"
	"os"

	"golang.org/x/sync/errgroup"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/front/fastcgi"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/token/ring"
)

// readyPollInterval is that at which a process that replaces another one looks whether it is ready.
const readyPollInterval = siblingCheckInterval / 5

// frontend takes requests at a listener.
type frontend interface {
	stoppableServer
	Serve(ctx context.Context, l net.Listener) error
	// Open counts the requests that are not yet answered.
	Open() int
	// Drain starts the drain of the frontend's connections, or with on false ends it.
	Drain(on bool)
	// HandOver hands the connections to the process that successor dials, or closes each between requests.
	HandOver(successor func() (*net.UnixConn, error))
	// SetProcessShare limits the frontend to its part of a gateway of so many processes, and to so many connections.
	SetProcessShare(processes, conns int)
}

// stoppable is the server of a listener that can be stopped at once.
type stoppableServer interface {
	// Stop has each connection closed once what was read on it is answered.
	Stop()
	// Conns counts the connections.
	Conns() int
}

// openFastCGI makes the platform's frontend, where it has an address.
func (gw *gateway) openFastCGI(ctx context.Context) (err error) {
	if gw.node.Listen == "" {
		return nil
	}
	f := fastcgi.New(fastcgi.Options{
		Post:       gw.core.Post,
		Clock:      gw.Clock,
		Log:        gw.Log,
		MaxConns:   gw.limits.frontend,
		Tap:        gw.tap("fastcgi"),
		RetryAfter: retryAfter(gw.node),
		MaxBytes:   memoryBytes(responseShare, gw.node),
		MaxTaken:   memoryBytes(requestShare, gw.node),
	})
	gw.addrs.FastCGI, err = gw.listen(ctx, "listen", gw.node.Listen, gw.node.SocketFD, f)
	if err != nil {
		return err
	}
	gw.addrs.Fronts.FastCGI = f.Handle
	gw.acceptHandover = f.Adopt
	return nil
}

// openSigned makes the frontend of signed requests, where there is an operator's file.
func (gw *gateway) openSigned(ctx context.Context) error {
	operator := gw.Operator
	if operator == nil {
		return nil
	}
	keys, err := operator.Ring()
	if err != nil {
		return err
	}
	fd := gw.node.SocketFD // the platform's frontend comes first
	if gw.node.Listen != "" {
		gw.limits.frontend /= 2
		fd = 0
	}
	f := signed.New(gw.signedOptions(keys))
	gw.plane.Configure(f.Changed, signed.ConfigKeys, signed.ConfigPolicy)
	gw.addrs.Signed, err = gw.listen(ctx, "listen", operator.Listen, fd, f)
	if err != nil {
		return err
	}
	gw.addrs.Fronts.Signed = f.Handle
	return nil
}

func (gw *gateway) signedOptions(keys *ring.Ring) signed.Options {
	operator := gw.Operator
	return signed.Options{
		Post:       gw.core.Post,
		Clock:      gw.Clock,
		Log:        gw.Log,
		Classes:    signedClasses(gw.node),
		Ring:       keys,
		Claims:     gw.plane,
		State:      gw.plane,
		Leeway:     operator.LeewayS * 1000,
		Scheme:     operator.Scheme,
		Operator:   operator.OperatorSecret,
		TokenMost:  operator.TokenS,
		MaxConns:   gw.limits.frontend,
		Tap:        gw.tap("signed"),
		Limits:     operator.Limit.Options(),
		CORS:       signed.CORS{Origins: operator.Cors.Origins, Headers: operator.Cors.Headers, MaxAge: operator.Cors.MaxAgeS},
		RetryAfter: retryAfter(gw.node),
		MaxBytes:   memoryBytes(responseShare, gw.node),
	}
}

func signedClasses(node config.Node) (classes []signed.Class) {
	for i, class := range node.Settings.Classes {
		classes = append(classes, signed.Class{
			Name:     node.Classes[i],
			Deadline: clock.Ms(class.Deadline),
			Fresh:    clock.Ms(class.FreshFor),
			Write:    class.Write,
		})
	}
	return classes
}

// retryAfter is the Retry-After that the settings allow for a client rejected in a drain, in ms.
func retryAfter(node config.Node) float64 {
	if !node.Settings.CanRetryAfter {
		return 0
	}
	return clock.Ms(node.Settings.MaxRetryAfter)
}

// tap wraps a frontend's connections for recording; nil: nothing is recorded.
func (gw *gateway) tap(name string) func(net.Conn) net.Conn {
	if gw.Tap == nil {
		return nil
	}
	return func(conn net.Conn) net.Conn { return gw.Tap(name, conn) }
}

// listen opens a frontend's listener.
func (gw *gateway) listen(ctx context.Context, field, addr string, fd int, f frontend) (net.Addr, error) {
	l, err := listenOn(ctx, field, addr, fd)
	if err != nil {
		return nil, err
	}
	gw.addCloser(func() { l.Close() })
	gw.frontends = append(gw.frontends, f)
	gw.listeners = append(gw.listeners, l)
	return l.Addr(), nil
}

// listenOn listens at an address, or on an inherited descriptor where fd is not 0. Errors name the field of the configuration.
func listenOn(ctx context.Context, field, addr string, fd int) (net.Listener, error) {
	if fd != 0 {
		return listenInherited(fd)
	}
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", field, err)
	}
	return l, nil
}

// listenInherited listens on a descriptor that the process was started with.
func listenInherited(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	if file == nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: %d is no descriptor", fd)
	}
	// The listener has a copy of its own; ours is closed. Neither close ends the socket, which others hold too.
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: %w", err)
	}
	return l, nil
}

// openRequests counts the requests that are not yet answered.
func (gw *gateway) openRequests() (count int) {
	for _, f := range gw.frontends {
		count += f.Open()
	}
	return count
}

// serveFrontends starts the frontends. A process that replaces another one accepts nothing before it is ready, unless the other
// one accepts nothing any more.
func (gw *gateway) serveFrontends(ctx context.Context, group *errgroup.Group) {
	for !gw.admin.readyToListen() && !gw.admin.noSiblingServes() && !stopRequested(ctx, gw.Stop) {
		wait(ctx, readyPollInterval)
	}
	for i, f := range gw.frontends {
		group.Go(func() error { return f.Serve(ctx, gw.listeners[i]) })
	}
	gw.admin.markReady(notListening)
	for _, l := range gw.listeners {
		gw.Log.Info().Str("name", gw.node.Name).Stringer("listen", l.Addr()).Msg("serving")
	}
	if gw.Ready != nil {
		gw.Ready(gw.addrs)
	}
}
