package settings

import (
	"net"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Kind is the type and range of a key's value.
type Kind interface{ kind() }

// Duration is a duration with a unit, such as 250ms or 2s.
type Duration struct {
	Min time.Duration
	Max time.Duration
}

// Integer is an integer.
type Integer struct {
	Min int
	Max int
}

// Number is a decimal number.
type Number struct {
	Min float64
	Max float64
}

// Text is any text of at least Min bytes.
type Text struct{ Min int }

// Address is an IP address and a port, such as 127.0.0.1:7000.
type Address struct{}

// Addresses is a comma-separated list of addresses; it may be empty.
type Addresses struct{}

// URL is an http URL whose host is an IP address and a port.
type URL struct{}

// Choice is one of a fixed set of words.
type Choice struct{ Of []string }

func (Duration) kind()  {}
func (Integer) kind()   {}
func (Number) kind()    {}
func (Text) kind()      {}
func (Address) kind()   {}
func (Addresses) kind() {}
func (URL) kind()       {}
func (Choice) kind()    {}

// validate returns an error if the value is not valid for the kind.
func validate(kind Kind, value string) error {
	switch k := kind.(type) {
	case Duration:
		return checkDuration(k, value)
	case Integer:
		return checkInteger(k, value)
	case Number:
		return checkNumber(k, value)
	case Text:
		if len(value) < k.Min {
			return errors.Errorf("value has %d bytes, needs at least %d", len(value), k.Min)
		}
	case Address:
		return checkAddress(value)
	case Addresses:
		for _, a := range splitList(value) {
			if err := checkAddress(a); err != nil {
				return err
			}
		}
	case URL:
		return checkURL(value)
	case Choice:
		if !slices.Contains(k.Of, value) {
			return errors.Errorf("%q is not one of %s", value, strings.Join(k.Of, ", "))
		}
	}
	return nil
}

func checkDuration(k Duration, value string) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return errors.Errorf("%q is not a duration with a unit, such as 250ms or 2s", value)
	}
	if d < k.Min || d > k.Max {
		return errors.Errorf("%s is outside %s to %s", d, k.Min, k.Max)
	}
	return nil
}

func checkInteger(k Integer, value string) error {
	n, err := strconv.Atoi(value)
	if err != nil {
		return errors.Errorf("%q is not an integer", value)
	}
	if n < k.Min || n > k.Max {
		return errors.Errorf("%d is outside %d to %d", n, k.Min, k.Max)
	}
	return nil
}

func checkNumber(k Number, value string) error {
	x, err := strconv.ParseFloat(value, 64)
	// x != x is true only for NaN, which the range check below would accept.
	if err != nil || x != x {
		return errors.Errorf("%q is not a number", value)
	}
	if x < k.Min || x > k.Max {
		return errors.Errorf("%g is outside %g to %g", x, k.Min, k.Max)
	}
	return nil
}

func checkAddress(value string) error {
	host, port, err := net.SplitHostPort(value)
	if err != nil || net.ParseIP(host) == nil {
		return errors.Errorf("%q is not an IP address and port, such as 127.0.0.1:7000", value)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || strconv.FormatUint(n, 10) != port {
		return errors.Errorf("port %q is outside 0 to 65535", port)
	}
	return nil
}

func checkURL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" || u.Host == "" {
		return errors.Errorf("%q is not an http URL", value)
	}
	return checkAddress(u.Host)
}

func splitList(value string) []string {
	var items []string
	for item := range strings.SplitSeq(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}
