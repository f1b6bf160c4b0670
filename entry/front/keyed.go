package front

import (
	"context"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/entry/send"
	"magnoliastall.example/magno"
	"magnoliastall.example/magno/keys"
)

// authorize refuses a caller whose key belongs to another customer than the profile. The
// refusal doesn't reveal that the profile exists.
func (f *Front) authorize(c echo.Context, p magno.Profile) *magno.Refusal {
	owner, required := f.Catalogue.Owner(c.Request().Header.Get(echo.HeaderAuthorization))
	switch {
	case !required:
		return nil
	case owner == nil:
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, keys.Scheme)
		return magno.Refuse(magno.KindCredential, "the key belongs to no customer")
	case owner.Name != p.Customer:
		return noProfile(p.Name)
	}
	return nil
}

func noProfile(name string) *magno.Refusal {
	return magno.Refuse(magno.KindNoProfile, "there is no profile %q", name).WithField("model")
}

// sendWithinQuota sends a request within its customer's limit. The cost of work that has not
// run is returned to the quota.
func (f *Front) sendWithinQuota(ctx context.Context, r send.Request, onPiece func(magno.Piece)) (magno.Result, bool, *magno.Refusal) {
	customer, ok := f.Catalogue.Customer(r.Work.Job.Customer)
	if !ok || customer.Limit == nil || f.Quotas == nil {
		return f.Sender.Do(ctx, r, onPiece)
	}
	cost := customer.Limit.Cost(tokenCost(&r.Work))
	if refusal := f.Quotas.Take(ctx, &customer, cost); refusal != nil {
		if r.Key != "" {
			refusal.WithRun(magno.RunUnknown) // an earlier copy may have run
		}
		return magno.Result{}, false, refusal
	}
	result, replay, refusal := f.Sender.Do(ctx, r, onPiece)
	if replay || (refusal != nil && refusal.Run == magno.RunNo) {
		f.Quotas.Give(&customer, cost)
	}
	return result, replay, refusal
}

// tokenCost is the maximum number of tokens that a request may use, zero for a plain service.
func tokenCost(w *magno.Work) int {
	if w.Path != "" {
		return 0
	}
	return w.Job.Prompt + w.Job.Output
}
