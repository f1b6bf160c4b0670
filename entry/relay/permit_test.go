package relay

import (
	"testing"

	"magnoliastall.example/magno"
)

// The agent shares its engine among the customers that permit requests name. A request without a
// key must name none, and one with a key the key's owner.
func TestPermitRequestNamesTheCustomer(t *testing.T) {
	for _, customer := range []*magno.Customer{nil, {Name: "alpha"}} {
		want := ""
		if customer != nil {
			want = customer.Name
		}
		j := &job{Handler: &Handler{Name: "e"}, route: &magno.Route{Kind: magno.RouteStream, Aim: 500}, customer: customer, deadline: magno.Hour + magno.Second}
		if got := j.permitRequest(magno.Hour).Customer; got != want {
			t.Errorf("the permit request names customer %q, want %q", got, want)
		}
	}
}
