package daemon

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/grant"
)

// homes names the entries that count customers' allowances.
type homes struct {
	self  magno.Instance
	fleet *fleet.Fleet
	store *config.Store
}

// entries lists the addresses of the entries that are listed and don't leave, this one
// among them.
func (h *homes) entries() []string {
	addrs := []string{h.self.Address}
	for _, in := range h.fleet.All() {
		if in.Role == magno.RoleEntry && in.State == magno.InstanceLive && in.Address != h.self.Address {
			addrs = append(addrs, in.Address)
		}
	}
	return addrs
}

// of lists a customer's homes, the first one first: the same wherever the list is.
func (h *homes) of(customer string) []string {
	return grant.SortHomes(customer, h.entries())
}

// count tells how many entries there are. The list doesn't say which of them are cut off.
func (h *homes) count() (alive, known int) {
	n := len(h.entries())
	return n, n
}

// limit is a customer's, nil where it has none.
func (h *homes) limit(customer string) *magno.Limit {
	now := h.store.Current()
	if now == nil {
		return nil
	}
	c, _ := now.Customer(customer)
	return c.Limit
}
