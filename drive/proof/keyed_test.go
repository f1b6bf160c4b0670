package proof

import (
	"net/http"
	"testing"
	"time"

	"magnoliastall.example/magno"
)

// Guards against requests that run without their customer's key, with another one's, or
// after it was withdrawn, and against a limit that each entry counts for itself.
func TestCallersNeedTheirCustomersKey(t *testing.T) {
	f := newFleet(t, quick(2))
	owner := f.config.Profiles[0].Customer
	for i := range f.config.Customers {
		f.config.Customers[i].Keys = []magno.Digest{magno.Digested("key of " + f.config.Customers[i].Name)}
	}
	f.config.Customers = append(f.config.Customers, magno.Customer{
		Name: "stranger", Weight: 1, Keys: []magno.Digest{magno.Digested("key of stranger")},
	})
	f.config.Version = 2
	f.publish()
	f.inForce(2)
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
		if r, _ := f.ask(0, profile, "keyed", 3); r.status != c.status || r.header.Get("X-Kind") != c.kind {
			t.Errorf("with %q: %v, want %d %s", c.bearer, r, c.status, c.kind)
		}
	}
	began := time.Now()
	served, refused := f.limited(t, owner, profile)
	if most := 12 + 1.5*time.Since(began).Seconds(); served == 0 || float64(served) > most || refused == 0 {
		t.Errorf("%d served and %d refused of 40, the limit lets %.0f run", served, refused, most)
	}
	f.withdraw(owner)
	if r, _ := f.ask(1, profile, "withdrawn", 3); r.status != http.StatusUnauthorized {
		t.Errorf("with a withdrawn key: %v", r)
	}
}

// limited gives a customer one request a second and four at once, and tells how many of
// 40 at once are served through both entries.
func (f *fleet) limited(t *testing.T, customer, profile string) (served, refused int) {
	t.Helper()
	for i := range f.config.Customers {
		if f.config.Customers[i].Name == customer {
			f.config.Customers[i].Limit = &magno.Limit{Rate: 1, Burst: 4}
		}
	}
	f.config.Version = 3
	f.publish()
	f.inForce(3)
	replies := make(chan reply, 40)
	for i := range cap(replies) {
		go func() {
			r, _ := f.ask(i%2, profile, "limited", 1)
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

// withdraw takes a customer's keys away.
func (f *fleet) withdraw(customer string) {
	for i := range f.config.Customers {
		if f.config.Customers[i].Name == customer {
			f.config.Customers[i].Keys = nil
		}
	}
	f.config.Version = 4
	f.publish()
	f.inForce(4)
}
