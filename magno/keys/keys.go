// Package keys maps callers' API keys to customers.
//
//	Authorization: Bearer KEY --digest--> table of a configuration --> customer
//
// Load pattern: every request is looked up, in a table of a few to some thousands of
// keys. Keys are looked up by their digests, so the time of a lookup doesn't reveal how
// close a guess came.
package keys

import (
	"strings"

	"magnoliastall.example/magno"
)

// Scheme is the HTTP authentication scheme that callers use.
const Scheme = "Bearer"

// Table maps the API keys of a configuration to customers. It is immutable.
type Table struct {
	customers map[magno.Digest]*magno.Customer
}

// New builds the table for the customers of a configuration.
func New(customers []magno.Customer) *Table {
	k := &Table{customers: map[magno.Digest]*magno.Customer{}}
	for i := range customers {
		for _, d := range customers[i].Keys {
			k.customers[d] = &customers[i]
		}
	}
	return k
}

// Find returns the customer to whom the key in an Authorization header belongs, or nil.
func (k *Table) Find(authorization string) *magno.Customer {
	scheme, key, _ := strings.Cut(strings.TrimSpace(authorization), " ")
	key = strings.TrimSpace(key)
	if key == "" || !strings.EqualFold(scheme, Scheme) {
		return nil
	}
	return k.customers[magno.DigestOf(key)]
}
