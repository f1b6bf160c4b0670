// Package guard restricts access to listed networks. The ports between processes accept
// privileged calls, and the platform's network is shared with other products.
package guard

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Allowlist is a list of networks that have access.
type Allowlist struct {
	prefixes []netip.Prefix
}

// New parses networks such as 10.0.0.0/8, or single addresses. An empty list allows only
// the loopback addresses.
func New(networks []string) (*Allowlist, error) {
	if len(networks) == 0 {
		networks = []string{"127.0.0.0/8", "::1"}
	}
	g := &Allowlist{}
	for _, text := range networks {
		prefix, err := parsePrefix(text)
		if err != nil {
			return nil, errors.Wrapf(err, "network %q", text)
		}
		g.prefixes = append(g.prefixes, prefix)
	}
	return g, nil
}

func parsePrefix(text string) (netip.Prefix, error) {
	if prefix, err := netip.ParsePrefix(text); err == nil {
		return prefix, nil
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	return netip.PrefixFrom(addr, addr.BitLen()), nil
}

// Allows tells whether remote, an IP with or without port, is in a listed network.
func (g *Allowlist) Allows(remote string) bool {
	host, _, err := net.SplitHostPort(remote)
	if err != nil {
		host = remote
	}
	addr, err := netip.ParseAddr(host)
	if err != nil {
		return false
	}
	for _, prefix := range g.prefixes {
		if prefix.Contains(addr.Unmap()) {
			return true
		}
	}
	return false
}
