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

// readyPollInterval is the interval at which a process that replaces another one checks whether it can start to listen.
const readyPollInterval = siblingCheckInterval / 5

// frontend accepts requests on a listener.
type frontend interface {
	stoppableServer
	Serve(ctx context.Context, l net.Listener) error
	// OpenRequests returns the number of unanswered requests.
	OpenRequests() int
	// Drain starts the drain of the frontend's connections if on is true, and ends it otherwise.
	Drain(on bool)
	// HandOver hands the connections over to the process that successor dials, or closes each between requests.
	HandOver(successor func() (*net.UnixConn, error))
	// BufferedBytes returns the bytes of open requests and of responses that wait to be written.
	BufferedBytes() (requests, responses int64)
	// SetProcessShare limits the frontend to one of the given number of processes, and sets its connection limit.
	SetProcessShare(processes, conns int)
}

// stoppableServer is the server of a listener, which can be stopped gracefully.
type stoppableServer interface {
	// Stop closes each connection once the requests that were read from it are answered.
	Stop()
	// Conns returns the number of open connections.
	Conns() int
}

// openFastCGI creates the platform's FastCGI frontend if an address is configured.
func (gw *gateway) openFastCGI(ctx context.Context) (err error) {
	if gw.node.Listen == "" {
		return nil
	}
	f := fastcgi.New(fastcgi.Options{
		Post:             gw.core.Post,
		Clock:            gw.Clock,
		Log:              gw.Log,
		MaxConns:         gw.limits.frontend,
		Tap:              gw.connWrapper("fastcgi"),
		RetryAfter:       retryAfter(gw.node),
		MaxResponseBytes: gw.memory.responses,
		MaxRequestBytes:  gw.memory.requests,
	})
	gw.addrs.FastCGI, err = gw.listen(ctx, "listen", gw.node.Listen, gw.node.SocketFD, f)
	if err != nil {
		return err
	}
	gw.addrs.Frontends.FastCGI = f.Handle
	gw.acceptHandover = f.Adopt
	return nil
}

// openSigned creates the frontend for signed requests if there is an operator's file.
func (gw *gateway) openSigned(ctx context.Context) error {
	operator := gw.Operator
	if operator == nil {
		return nil
	}
	keys, err := operator.Ring()
	if err != nil {
		return err
	}
	fd := gw.node.SocketFD // used by the FastCGI frontend if there is one
	if gw.node.Listen != "" {
		gw.limits.frontend /= 2
		fd = 0
	}
	f := signed.New(gw.signedOptions(keys))
	gw.plane.SetMinRevocation(f.MinRevocation)
	gw.plane.OnConfigChange(f.ApplyConfig, signed.ConfigKeys, signed.ConfigPolicy)
	gw.addrs.Signed, err = gw.listen(ctx, "listen", operator.Listen, fd, f)
	if err != nil {
		return err
	}
	gw.addrs.Frontends.Signed = f.Handle
	return nil
}

func (gw *gateway) signedOptions(keys *ring.Ring) signed.Options {
	operator := gw.Operator
	return signed.Options{
		Post:             gw.core.Post,
		Clock:            gw.Clock,
		Log:              gw.Log,
		Classes:          signedClasses(gw.node),
		Ring:             keys,
		Claims:           gw.plane,
		State:            gw.plane,
		MaxClockSkew:     operator.LeewayS * 1000,
		Scheme:           operator.Scheme,
		OperatorSecret:   operator.OperatorSecret,
		MaxTokenSeconds:  operator.TokenS,
		MaxConns:         gw.limits.frontend,
		Tap:              gw.connWrapper("signed"),
		Limits:           operator.Limit.Options(),
		CORS:             signed.CORS{Origins: operator.Cors.Origins, Headers: operator.Cors.Headers, MaxAge: operator.Cors.MaxAgeS},
		RetryAfter:       retryAfter(gw.node),
		MaxResponseBytes: gw.memory.responses,
		MaxRequestBytes:  gw.memory.requests,
	}
}

func signedClasses(node config.Node) (classes []signed.Class) {
	for i, class := range node.Settings.Classes {
		classes = append(classes, signed.Class{
			Name:     node.Classes[i],
			Deadline: clock.Ms(class.Deadline),
			FreshMs:  clock.Ms(class.FreshFor),
			Write:    class.Write,
		})
	}
	return classes
}

// retryAfter returns the longest Retry-After, in ms, for clients rejected during a drain; 0: the settings allow none.
func retryAfter(node config.Node) float64 {
	if !node.Settings.CanRetryAfter {
		return 0
	}
	return clock.Ms(node.Settings.MaxRetryAfter)
}

// connWrapper returns the function that wraps a frontend's connections for recording; nil: no recording.
func (gw *gateway) connWrapper(name string) func(net.Conn) net.Conn {
	if gw.WrapConn == nil {
		return nil
	}
	return func(conn net.Conn) net.Conn { return gw.WrapConn(name, conn) }
}

// listen opens a frontend's listener and registers both.
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

// listenOn listens on an address, or on an inherited descriptor if fd is not 0. Errors name the configuration field.
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

// listenInherited listens on a descriptor that was inherited at process start.
func listenInherited(fd int) (net.Listener, error) {
	file := os.NewFile(uintptr(fd), "listener")
	if file == nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: %d is not a file descriptor", fd)
	}
	// net.FileListener duplicates the descriptor, so this one is closed. Closing either leaves the socket open for the other
	// processes that share it.
	defer file.Close()
	l, err := net.FileListener(file)
	if err != nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: %w", err)
	}
	return l, nil
}

// openRequests returns the number of unanswered requests.
func (gw *gateway) openRequests() (count int) {
	for _, f := range gw.frontends {
		count += f.OpenRequests()
	}
	return count
}

// serveFrontends starts the frontends. A process that replaces another one accepts no connections before it is ready, unless the
// other process no longer serves.
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
