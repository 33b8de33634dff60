package config

import (
	"fmt"
	"path/filepath"

	"github.com/BurntSushi/toml"
)

// Operator is an operator's file: the signed frontend, its keys, the endpoints and the replicated store. The tags are the keys
// of the file.
type Operator struct {
	Name               string        `toml:"name"`
	Listen             string        `toml:"listen"`  // address of the signed frontend
	FastCGI            string        `toml:"fastcgi"` // address of the platform's frontend; "": none
	Console            string        `toml:"console"` // address of the admin API; "": none
	Scheme             string        `toml:"scheme"`  // of the URIs that clients see
	LeewayS            float64       `toml:"leeway_s"`
	TokenS             float64       `toml:"token_s"`     // maximum lifetime of issued tokens
	TraceShare         float64       `toml:"trace_share"` // share of requests, 0 to 1, traced in the log
	OperatorSecret     string        `toml:"operator_secret"`
	OperatorSecretFile string        `toml:"operator_secret_file"`
	Cors               CORS          `toml:"cors"`
	Limit              RateLimits    `toml:"limit"`
	Limits             MachineLimits `toml:"limits"`
	Module             Module        `toml:"module"`
	Classes            []Class       `toml:"class"`
	Endpoints          []Endpoint    `toml:"store"`
	Signers            []NamedSigner `toml:"signer"`
	Keys               []KeyEntry    `toml:"key"`
	Replica            Replica       `toml:"replica"`

	dir string // folder of the file, to which its paths are relative
}

// MachineLimits is the size of the machine. Zero values are unknown.
type MachineLimits struct {
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

const (
	// DefaultLeeway is the default for the allowed difference between clocks, in seconds.
	DefaultLeeway = 10

	maxLeewayS              = 300
	minOperatorSecretLength = 16
	defaultScheme           = "http"
)

// LoadOperator reads an operator's file. Paths in it are relative to its folder.
func LoadOperator(path string) (*Operator, error) {
	text, err := readFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return ParseOperator(string(text), filepath.Dir(path))
}

// ParseOperator parses an operator's file. Paths in it are relative to dir. Errors name the field.
func ParseOperator(text, dir string) (*Operator, error) {
	o := &Operator{LeewayS: DefaultLeeway, dir: dir}
	meta, err := toml.Decode(text, o)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("config: %s: no such field", unknown[0])
	}
	if o.Scheme == "" {
		o.Scheme = defaultScheme
	}
	if err := o.check(); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return o, nil
}

// check reads the secrets from their files and validates all sections.
func (o *Operator) check() error {
	sections := []func() error{
		o.checkFrontends,
		o.checkOperatorSecret,
		o.Cors.check,
		o.Limit.check,
		o.checkClasses,
		o.checkSigners,
		o.checkStores,
		o.checkKeys,
		o.Replica.check,
	}
	for _, checkSection := range sections {
		if err := checkSection(); err != nil {
			return err
		}
	}
	return nil
}

func (o *Operator) checkFrontends() error {
	return firstViolation([]rule{
		{addressField("console"), optionalAddress(o.Console)},
		{addressField("listen"), address(o.Listen)},
		{addressField("fastcgi"), optionalAddress(o.FastCGI)},
		{"scheme", require(o.Scheme == "http" || o.Scheme == "https", "%q is neither http nor https", o.Scheme)},
		{"leeway_s", within(o.LeewayS, 0, maxLeewayS)},
		{"trace_share", within(o.TraceShare, 0, 1)},
		{"token_s", require(o.TokenS >= 0, "%v is negative", o.TokenS)},
	})
}

func (o *Operator) checkOperatorSecret() error {
	if err := o.readSecret("operator_secret", &o.OperatorSecret, o.OperatorSecretFile); err != nil {
		return err
	}
	longEnough := o.OperatorSecret == "" || len(o.OperatorSecret) >= minOperatorSecretLength
	return firstViolation([]rule{
		{"operator_secret", require(longEnough, "at least %d characters", minOperatorSecretLength)},
	})
}

// Path resolves a path of the file, which may be relative to the file's folder.
func (o *Operator) Path(p string) string {
	if filepath.IsAbs(p) {
		return p
	}
	return filepath.Join(o.dir, p)
}
