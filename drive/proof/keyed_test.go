package proof

import (
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// Guards against requests that run without their customer's key, with the key of another
// customer or with a withdrawn key, and against a limit that each entry applies on its own
// instead of across all entries.
func TestCallersNeedTheirCustomersKey(t *testing.T) {
	f := newFleet(t, fastLayout(2))
	owner := f.config.Profiles[0].Customer
	for i := range f.config.Customers {
		f.config.Customers[i].Keys = []magno.Digest{magno.DigestOf("key of " + f.config.Customers[i].Name)}
	}
	f.config.Customers = append(f.config.Customers, magno.Customer{
		Name: "stranger", Weight: 1, Keys: []magno.Digest{magno.DigestOf("key of stranger")},
	})
	f.config.Version = 2
	f.publish()
	f.waitVersion(2)
	profile := f.config.Profiles[0].Name
	for _, c := range []struct {
		bearer, kind string
		status       int
	}{
		{"", "credential", http.StatusUnauthorized},
		{"guess", "credential", http.StatusUnauthorized},
		{"key of stranger", "profile", http.StatusNotFound},
		{"key of " + owner, "", http.StatusOK},
	} {
		f.bearer = c.bearer
		if r, _ := f.complete(0, profile, "keyed", 3); r.status != c.status || r.header.Get("X-Kind") != c.kind {
			t.Errorf("with %q: %v, want %d %s", c.bearer, r, c.status, c.kind)
		}
	}
	began := time.Now()
	served, refused := f.sendLimited(t, owner, profile)
	if most := 12 + 1.5*time.Since(began).Seconds(); served == 0 || float64(served) > most || refused == 0 {
		t.Errorf("%d served and %d refused of 40, the limit allows %.0f", served, refused, most)
	}
	f.withdrawKeys(owner)
	if r, _ := f.complete(1, profile, "withdrawn", 3); r.status != http.StatusUnauthorized {
		t.Errorf("with a withdrawn key: %v", r)
	}
}

// sendLimited limits a customer to one request per second with a burst of four, and returns
// how many of 40 concurrent requests through both entries are served and refused.
func (f *fleet) sendLimited(t *testing.T, customer, profile string) (served, refused int) {
	t.Helper()
	for i := range f.config.Customers {
		if f.config.Customers[i].Name == customer {
			f.config.Customers[i].Limit = &magno.Limit{Rate: 1, Burst: 4}
		}
	}
	f.config.Version = 3
	f.publish()
	f.waitVersion(3)
	replies := make(chan reply, 40)
	for i := range cap(replies) {
		go func() {
			r, _ := f.complete(i%2, profile, "limited", 1)
			replies <- r
		}()
	}
	for range cap(replies) {
		switch r := <-replies; {
		case r.status == http.StatusOK:
			served++
		case r.header.Get("X-Kind") == "quota" && r.header.Get("Retry-After") != "":
			refused++
		default:
			t.Error(r)
		}
	}
	return served, refused
}

// withdrawKeys removes a customer's keys.
func (f *fleet) withdrawKeys(customer string) {
	for i := range f.config.Customers {
		if f.config.Customers[i].Name == customer {
			f.config.Customers[i].Keys = nil
		}
	}
	f.config.Version = 4
	f.publish()
	f.waitVersion(4)
}
