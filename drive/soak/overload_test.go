package soak

import (
	"context"
	"strings"
	"testing"

	"magnoliastall.example/platform/fake"
)

// Guards against an overload, with an entry killed and another one paused in the middle of it, after which the
// fleet doesn't serve as before, in which one customer is served nothing because another one sends many times its
// usual rate, or in which a request runs that was refused, or runs twice.
func TestOverloadBreaksNoPromise(t *testing.T) {
	s := startSoak(t)
	o := s.playOverload()
	s.checkRecovery(context.Background(), "an overload", recoveryLimit)
	s.checkAll()
	s.checkNotices()
	for _, what := range s.violations {
		t.Error(what)
	}
	t.Logf("served %v, refused %v, refused without a time %v; %d callers returned, upstreams shed %d", o.served, o.refused, o.untold, o.returned, o.shed)
	for name, key := range map[string]string{"the usual customer": fake.Key, "the customer that sends more": fake.OtherKey} {
		for _, path := range []string{fake.PathOnce, fake.PathRepeat, fake.PathResume} {
			kind := key + " " + strings.Trim(path, "/")
			if o.served[kind] == 0 {
				t.Errorf("%s was served nothing of %s", name, path)
			}
			if o.untold[kind] > 0 {
				t.Errorf("%s was refused %d times without a time to return, of %s", name, o.untold[kind], path)
			}
		}
	}
	engines := o.refused[fake.OtherKey+" "+strings.Trim(fake.PathResume, "/")]
	if o.returned == 0 || o.shed < 100 || engines == 0 {
		t.Errorf("%d callers returned, %d requests were shed and %d streams refused: no overload", o.returned, o.shed, engines)
	}
}
