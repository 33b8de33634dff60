package config

import (
	"bytes"
	"fmt"
	"strings"

	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

// KeyEntry is a key. Its secrets are inline or in separate files.
type KeyEntry struct {
	token.Key
	SecretFile   string `toml:"secret_file"`
	IPSecretFile string `toml:"ip_secret_file"`
	PublicFile   string `toml:"public_file"`
	PrivateFile  string `toml:"private_file"`
}

// checkKeys reads the keys' files and validates the keys by building a key ring.
func (o *Operator) checkKeys() error {
	for i := range o.Keys {
		if err := o.readKeyFiles(fmt.Sprintf("key[%d].", i), &o.Keys[i]); err != nil {
			return err
		}
	}
	_, err := o.Ring()
	return err
}

func (o *Operator) readKeyFiles(section string, k *KeyEntry) error {
	files := []struct {
		field string
		value *string
		path  string
	}{
		{"secret", &k.Secret, k.SecretFile},
		{"ip_secret", &k.IPSecret, k.IPSecretFile},
		{"public", &k.Public, k.PublicFile},
		{"private", &k.Private, k.PrivateFile},
	}
	for _, f := range files {
		if err := o.readSecret(section+f.field, f.value, f.path); err != nil {
			return err
		}
	}
	return nil
}

// Ring returns a key ring of the keys.
func (o *Operator) Ring() (*ring.Ring, error) {
	keys := make([]token.Key, len(o.Keys))
	for i, k := range o.Keys {
		keys[i] = k.Key
	}
	return ring.New(keys)
}

// readSecret replaces a field's value by the content of a file, with surrounding white space removed. Without a path it keeps
// the value.
func (o *Operator) readSecret(field string, value *string, path string) error {
	if path == "" {
		return nil
	}
	content, err := readFile(o.Path(path))
	if err != nil {
		return fmt.Errorf("%s_file: %w", field, err)
	}
	if bytes.Contains(content, []byte(pemBegin)) {
		if err := checkPEM(content); err != nil {
			return fmt.Errorf("%s_file: %s: %w", field, o.Path(path), err)
		}
	}
	*value = strings.TrimSpace(string(content))
	return nil
}
