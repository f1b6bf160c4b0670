package front

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"magnoliastall.example/magno"
	"magnoliastall.example/magno/keys"
)

// completion serves POST /v1/completions.
func (f *Front) completion(c echo.Context) error {
	return f.generate(c, form{}, defaultCompletionTokens, func(b *body) (string, *magno.Refusal) {
		if b.Prompt == nil {
			return "", magno.Refuse(magno.KindMalformed, "is missing").WithField("prompt")
		}
		return string(*b.Prompt), nil
	})
}

// chat serves POST /v1/chat/completions.
func (f *Front) chat(c echo.Context) error {
	return f.generate(c, form{chat: true}, defaultChatTokens, func(b *body) (string, *magno.Refusal) {
		if len(b.Messages) == 0 {
			return "", magno.Refuse(magno.KindMalformed, "is empty").WithField("messages")
		}
		return join(b.Messages), nil
	})
}

// generate serves a request to a model engine.
func (f *Front) generate(c echo.Context, form form, defaultTokens int, text func(*body) (string, *magno.Refusal)) error {
	data, refusal := f.read(c)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	b, refusal := decode(data)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	p, refusal := f.profileOfKind(c, b.Model, magno.PoolEngine)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	prompt, refusal := text(b)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	limit, refusal := b.tokens(defaultTokens)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	r, refusal := f.request(c, p, b.User, magno.Work{Body: prompt, MaxTokens: limit})
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	r.Stream = b.Stream
	f.Events.Add("request", r.Work.Job.ID, "profile="+p.Name)
	if b.Stream {
		return f.stream(c, r, form)
	}
	return f.answerWhole(c, r, form)
}

// call serves POST /v1/call/{profile}/{name}.
func (f *Front) call(c echo.Context) error {
	data, refusal := f.read(c)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	p, refusal := f.profileOfKind(c, c.Param("profile"), magno.PoolPlain)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	name := c.Param("name")
	if name == "" {
		name = p.Name
	}
	w := magno.Work{Path: name, Body: string(data), ContentType: c.Request().Header.Get(echo.HeaderContentType)}
	r, refusal := f.request(c, p, "", w)
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	f.Events.Add("request", r.Work.Job.ID, "profile="+p.Name)
	return f.answerWhole(c, r, form{})
}

// ticket serves POST /v1/tickets/{profile}: a key that only one process may run, for callers
// that can fetch it before they send the request. No other process runs it, whatever is
// partitioned or replaced.
func (f *Front) ticket(c echo.Context) error {
	p, refusal := f.profile(c, c.Param("profile"))
	if refusal != nil {
		return f.refuseUnsent(c, refusal)
	}
	ref := magno.Ref{Adapter: p.Adapter, Version: p.Version}
	t, refusal := f.Sender.Ticket(c.Request().Context(), p.Pool, ref)
	if refusal != nil {
		return f.refuse(c, refusal)
	}
	return c.JSON(http.StatusOK, map[string]string{"ticket": t.String()})
}

// profileOfKind looks up a profile and checks that its pool is of the kind.
func (f *Front) profileOfKind(c echo.Context, name string, kind magno.PoolKind) (magno.Profile, *magno.Refusal) {
	p, refusal := f.profile(c, name)
	if refusal != nil {
		return p, refusal
	}
	pool, ok := f.Catalogue.Pool(p.Pool)
	if !ok || pool.Kind != kind {
		return p, magno.Refuse(magno.KindMalformed, "profile %q is served by another route", name).WithField("model")
	}
	return p, nil
}

// models serves GET /v1/models.
func (f *Front) models(c echo.Context) error {
	type row struct {
		ID     string `json:"id"`
		Object string `json:"object"`
	}
	owner, required := f.Catalogue.Owner(c.Request().Header.Get(echo.HeaderAuthorization))
	if required && owner == nil {
		c.Response().Header().Set(echo.HeaderWWWAuthenticate, keys.Scheme)
		return f.refuse(c, magno.Refuse(magno.KindCredential, "the key belongs to no customer"))
	}
	customer := ""
	if required {
		customer = owner.Name
	}
	names := f.Catalogue.ProfileNames(customer)
	rows := make([]row, 0, len(names))
	for _, name := range names {
		rows = append(rows, row{ID: name, Object: "model"})
	}
	return c.JSON(http.StatusOK, map[string]any{"object": "list", "data": rows})
}
