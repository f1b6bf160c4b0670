// Package guard lets only listed peers in. The processes' own ports carry
// orders that nobody else may give, and the platform's network is shared with
// other products.
package guard

import (
	"net"
	"net/netip"

	"github.com/cockroachdb/errors"
)

// Guard holds the networks whose addresses are let in.
type Allowlist struct {
	prefixes []netip.Prefix
}

// New reads networks such as 10.0.0.0/8, or single addresses. An empty list
// lets in this machine's own addresses only.
func New(networks []string) (*Allowlist, error) {
	if len(networks) == 0 {
		networks = []string{"127.0.0.0/8", "::1"}
	}
	g := &Allowlist{}
	for _, text := range networks {
		prefix, err := parse(text)
		if err != nil {
			return nil, errors.Wrapf(err, "network %q", text)
		}
		g.prefixes = append(g.prefixes, prefix)
	}
	return g, nil
}

func parse(text string) (netip.Prefix, error) {
	if prefix, err := netip.ParsePrefix(text); err == nil {
		return prefix, nil
	}
	addr, err := netip.ParseAddr(text)
	if err != nil {
		return netip.Prefix{}, err
	}
	return netip.PrefixFrom(addr, addr.BitLen()), nil
}

// Allows tells whether remote, an IP and port or an IP, is on the list.
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
