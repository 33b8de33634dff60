package config

import (
	"errors"
	"fmt"
	"os"
	"strconv"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/core"
)

// Node is the configuration of one gateway.
type Node struct {
	Name                 string
	Listen               string // address of the platform's frontend
	AdminAddr            string // address of the admin API; "": none
	SocketFD             int    // inherited descriptor of a listening socket, used instead of Listen; 0: none
	Seed                 uint64
	Cores                float64
	MemoryMB             int
	Sockets              int
	ClientBytesPerSecond float64      // maximum rate to one client in bytes per second; 0: unknown
	DiscoveryAddr        string       // address of the discovery service; "": none
	KnownSeq             uint64       // of the last event in KnownEvents
	KnownEvents          []core.Event // discovery events known at the start
	Settings             control.Settings
	Classes              []string // names, in the order of Settings.Classes
	MaxOpen              int
	DialTimeoutMs        float64
	IdleTimeoutMs        float64
	StreamsPerConn       int // concurrent requests on one connection
}

// maxFileSize bounds a configuration file and each file that it names, in bytes.
const maxFileSize = 16 << 20

// firstInheritedFD is the first descriptor after standard input, output and error.
const firstInheritedFD = 3

// Load reads the platform's configuration from the file that NODE_CONFIG names. NODE_NAME, NODE_LISTEN and NODE_CONSOLE take
// precedence over the file if set.
func Load(path string, getenv func(string) string) (Node, error) {
	text, err := readNodeConfig(path)
	if err != nil {
		return Node{}, fmt.Errorf("NODE_CONFIG: %w", err)
	}
	n, err := Parse(text, getenv("NODE_NAME"), getenv("NODE_LISTEN"))
	if err != nil {
		return Node{}, err
	}
	if console := getenv("NODE_CONSOLE"); console != "" {
		if err := address(console); err != nil {
			return Node{}, fmt.Errorf("config: NODE_CONSOLE: %w", err)
		}
		n.AdminAddr = console
	}
	n.SocketFD, err = SocketFD(getenv)
	if err != nil {
		return Node{}, err
	}
	return n, nil
}

// SocketFD returns the descriptor in NODE_SOCKET_FD, on which the process listens instead of its address; 0 if the variable
// is not set.
func SocketFD(getenv func(string) string) (int, error) {
	text := getenv("NODE_SOCKET_FD")
	if text == "" {
		return 0, nil
	}
	fd, err := strconv.Atoi(text)
	if err != nil || fd < firstInheritedFD {
		return 0, fmt.Errorf("config: NODE_SOCKET_FD: %q is not a descriptor of at least %d", text, firstInheritedFD)
	}
	return fd, nil
}

func readNodeConfig(path string) ([]byte, error) {
	if path == "" {
		return nil, errors.New("not set")
	}
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("%s: %d bytes, more than %d", path, info.Size(), maxFileSize)
	}
	return os.ReadFile(path)
}

// readFile reads an operator's file, or one that it names, of at most maxFileSize.
func readFile(path string) ([]byte, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("%s: %d bytes, more than %d", path, info.Size(), maxFileSize)
	}
	return os.ReadFile(path)
}
