package daemon

import (
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/config"
	"magnoliastall.example/magno/fleet"
	"magnoliastall.example/magno/grant"
)

// quotaHomes selects the entries that keep customers' quotas.
type quotaHomes struct {
	self  magno.Instance
	fleet *fleet.Fleet
	store *config.Store
}

// entries returns the addresses of the entries that are listed and not leaving, this one
// included.
func (h *quotaHomes) entries() []string {
	addrs := []string{h.self.Address}
	for _, in := range h.fleet.All() {
		if in.Role == magno.RoleEntry && in.State == magno.InstanceLive && in.Address != h.self.Address {
			addrs = append(addrs, in.Address)
		}
	}
	return addrs
}

// forCustomer returns the addresses of a customer's homes in order of preference: the same
// on every entry that has the same list.
func (h *quotaHomes) forCustomer(customer string) []string {
	return grant.SortHomes(customer, h.entries())
}

// count returns the number of entries as both alive and known, as the list doesn't say which
// of them are unreachable.
func (h *quotaHomes) count() (alive, known int) {
	n := len(h.entries())
	return n, n
}

// limit returns a customer's limit, nil if it has none.
func (h *quotaHomes) limit(customer string) *magno.Limit {
	now := h.store.Current()
	if now == nil {
		return nil
	}
	c, _ := now.Customer(customer)
	return c.Limit
}
