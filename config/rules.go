package config

import (
	"errors"
	"fmt"
	"net"
)

// rule is the result of one validation: the key as errors name it, and the violation, if any.
type rule struct {
	field string
	err   error // nil: the value is valid
}

// firstViolation returns the error of the first violated rule, prefixed with its field.
func firstViolation(rules []rule) error {
	for _, r := range rules {
		if r.err != nil {
			return fmt.Errorf("%s: %w", r.field, r.err)
		}
	}
	return nil
}

// require returns an error with the formatted text if the condition does not hold.
func require(condition bool, format string, args ...any) error {
	if condition {
		return nil
	}
	return fmt.Errorf(format, args...)
}

// within requires a number from low to high. NaN is not within any range.
func within[T int | float64](v, low, high T) error {
	return require(v >= low && v <= high, "%v is not within %v to %v", v, low, high)
}

// present requires a value that is not empty.
func present(v string) error {
	if v == "" {
		return errors.New("missing")
	}
	return nil
}

// address requires a host, which may be empty, and a port.
func address(v string) error {
	_, port, err := net.SplitHostPort(v)
	return require(err == nil && port != "", "%q is not an address with a port", v)
}

// optionalAddress requires an address unless the value is empty.
func optionalAddress(v string) error {
	if v == "" {
		return nil
	}
	return address(v)
}

// addressField returns the name of an address field of the operator's file for errors. The prefix of the package is repeated
// for compatibility: scripts may match the text.
func addressField(key string) string { return "config: " + key }
