// Package keys tells which customer a request's key belongs to.
//
//	Authorization: Bearer KEY --digest--> table of a configuration --> customer
//
// Load pattern: every request, over a few to some thousands of keys. Keys are looked
// up by their digests, so the time that a lookup takes tells nothing of how close a
// guess came.
package keys

import (
	"strings"

	"magnoliastall.example/magno"
)

// Scheme is the authentication scheme of callers.
const Scheme = "Bearer"

// Table maps the keys of a configuration to their customers. It isn't changed once made.
type Table struct {
	owners map[magno.Digest]*magno.Customer
}

// New builds the table of a configuration's customers.
func New(customers []magno.Customer) *Table {
	k := &Table{owners: map[magno.Digest]*magno.Customer{}}
	for i := range customers {
		for _, d := range customers[i].Keys {
			k.owners[d] = &customers[i]
		}
	}
	return k
}

// Find returns the customer that an Authorization header's key belongs to, nil when
// there is none.
func (k *Table) Find(authorization string) *magno.Customer {
	scheme, key, _ := strings.Cut(strings.TrimSpace(authorization), " ")
	key = strings.TrimSpace(key)
	if key == "" || !strings.EqualFold(scheme, Scheme) {
		return nil
	}
	return k.owners[magno.Digested(key)]
}
