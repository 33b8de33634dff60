package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/discovery"
	"turnfork.dev/turnfork/internal/simproto"
)

// platformFile is the file that NODE_CONFIG names. Its keys are matched without regard to case.
type platformFile struct {
	Name               string          `json:"name"`
	Listen             string          `json:"listen"`
	AdminListen        string          `json:"console"`
	Seed               string          `json:"seed"` // hexadecimal
	Limits             platformLimits  `json:"limits"`
	FlowBytesPerSecond float64         `json:"flow_bytes_per_s"`
	DiscoveryAddr      string          `json:"changelog"`
	KnownEvents        json.RawMessage `json:"known"`
	Settings           json.RawMessage `json:"settings"`
}

type platformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// connectionSettings are the settings for connections and names. [simproto.Settings] reads those of the decision module.
type connectionSettings struct {
	Kinds   []string `json:"kinds"`
	Zones   []string `json:"zones"`
	Classes []struct {
		Name string `json:"name"`
	} `json:"classes"`
	Allowed struct {
		DialTimeoutS float64 `json:"dial-timeout"`
		IdleTimeoutS float64 `json:"idle-close"`
		MaxOpen      int     `json:"max-open"`
		Streams      int     `json:"streams-per-conn"`
	} `json:"allowed"`
}

// Parse parses the text of a NODE_CONFIG file. A name or listen address that is not empty takes precedence over the file's.
// Errors name the field.
func Parse(text []byte, name, listen string) (Node, error) {
	n, err := parsePlatformFile(text, name, listen)
	if err != nil {
		return Node{}, fmt.Errorf("config: %w", err)
	}
	return n, nil
}

func parsePlatformFile(text []byte, name, listen string) (Node, error) {
	var file platformFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Node{}, err
	}
	if name != "" {
		file.Name = name
	}
	if listen != "" {
		file.Listen = listen
	}
	if err := file.check(); err != nil {
		return Node{}, err
	}
	n := file.node()
	connections, err := parseSettings(file.Settings, &n.Settings)
	if err != nil {
		return Node{}, fmt.Errorf("settings: %w", err)
	}
	connections.apply(&n)
	names := discovery.SettingNames{Zones: connections.Zones, Kinds: connections.Kinds}
	n.KnownSeq, n.KnownEvents, err = discovery.ParseKnown(file.KnownEvents, names)
	if err != nil {
		return Node{}, err
	}
	return n, nil
}

func (f platformFile) check() error {
	_, seedErr := parseSeed(f.Seed)
	negativeLimit := f.Limits.Cores < 0 || f.Limits.MemoryMB < 0 || f.Limits.Sockets < 0
	return firstViolation([]rule{
		{"listen", address(f.Listen)},
		{"console", optionalAddress(f.AdminListen)},
		{"changelog", optionalAddress(f.DiscoveryAddr)},
		{"seed", seedErr},
		{"flow_bytes_per_s", require(f.FlowBytesPerSecond >= 0, "negative")},
		{"limits", require(!negativeLimit, "negative")},
		{"settings", require(len(f.Settings) > 0, "missing")},
	})
}

// node converts the fields other than known and settings.
func (f platformFile) node() Node {
	seed, _ := parseSeed(f.Seed) // validated by check
	return Node{
		Name:                 f.Name,
		Listen:               f.Listen,
		AdminAddr:            f.AdminListen,
		Seed:                 seed,
		Cores:                f.Limits.Cores,
		MemoryMB:             f.Limits.MemoryMB,
		Sockets:              f.Limits.Sockets,
		ClientBytesPerSecond: f.FlowBytesPerSecond,
		DiscoveryAddr:        f.DiscoveryAddr,
	}
}

func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a hexadecimal number", text)
	}
	return seed, nil
}

// parseSettings parses the settings of the decision module and of the connections.
func parseSettings(text []byte, settings *control.Settings) (c connectionSettings, err error) {
	if *settings, _, err = simproto.Settings(text); err != nil {
		return c, err
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, err
	}
	return c, c.check()
}

func (c connectionSettings) check() error {
	var rules []rule
	var names []string
	for i, class := range c.Classes { // names must be unique: requests refer to them
		valid := class.Name != "" && !slices.Contains(names, class.Name)
		field := fmt.Sprintf("classes[%d].name", i)
		rules = append(rules, rule{field, require(valid, "%q is empty or the name of another class", class.Name)})
		names = append(names, class.Name)
	}
	if err := firstViolation(rules); err != nil {
		return err
	}
	a := c.Allowed
	if a.DialTimeoutS < 0 || a.IdleTimeoutS < 0 || a.MaxOpen < 0 || a.Streams < 0 {
		return errors.New("allowed: dial-timeout, idle-close, max-open or streams-per-conn is negative")
	}
	return nil
}

// apply sets the connection settings, or their defaults, in a node's configuration.
func (c connectionSettings) apply(n *Node) {
	for _, class := range c.Classes {
		n.Classes = append(n.Classes, class.Name)
	}
	n.MaxOpen = c.Allowed.MaxOpen
	n.StreamsPerConn = positiveOr(c.Allowed.Streams, defaultStreamsPerConn)
	n.DialTimeoutMs = positiveOr(c.Allowed.DialTimeoutS*1000, defaultDialTimeoutMs)
	n.IdleTimeoutMs = c.Allowed.IdleTimeoutS * 1000
}
