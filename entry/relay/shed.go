package relay

import "context"

type refusalKey struct{}

// WithRefusal returns the context of a connection whose requests are refused as by an overloaded instance.
func WithRefusal(ctx context.Context) context.Context {
	return context.WithValue(ctx, refusalKey{}, true)
}

func isRefused(ctx context.Context) bool { return ctx.Value(refusalKey{}) != nil }
