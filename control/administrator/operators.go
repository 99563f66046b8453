package administrator

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// anonymous names operators where the settings list none.
const anonymous = "anonymous"

// Operators are the digests of the operators' tokens by operator.
type Operators map[string]digester.Digest

type operatorKey struct{}

// ReadOperators reads the section [operators]; plain tells that none is allowed.
func ReadOperators(s *loader.Settings, names []string) Operators {
	r := s.Section("operators")
	out := Operators{}
	for _, n := range names {
		d, ok := digester.Parse(r.Optional(n, ""))
		if !ok {
			r.Fail(n, "not a SHA-256 digest in hexadecimal; 'filberthoist keys new' prints one")
		}
		out[n] = d
	}
	return out
}

// Guard lets only listed operators through, and everybody if none is listed.
func Guard(o Operators, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		name, ok := o.identify(q.Header.Get("Authorization"))
		if !ok {
			http.Error(w, "the token is not an operator's", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), operatorKey{}, name)))
	})
}

// identify compares with every operator, so that the time tells nothing.
func (o Operators) identify(header string) (name string, ok bool) {
	if len(o) == 0 {
		return anonymous, true
	}
	d := digester.Key(strings.TrimPrefix(header, "Bearer "))
	for n, want := range o {
		if subtle.ConstantTimeCompare(d[:], want[:]) == 1 {
			name, ok = n, true
		}
	}
	return name, ok
}

func operatorOf(ctx context.Context) string {
	if n, ok := ctx.Value(operatorKey{}).(string); ok {
		return n
	}
	return anonymous
}

// direct is an Administrator for calls that come from operators themselves.
type direct struct {
	*Administrator
}

// Direct returns a handler that never takes an operator's word for being passed on.
func Direct(a *Administrator) wireconnect.AdministrationServiceHandler {
	return direct{a}
}

// Order proposes an order.
func (d direct) Order(ctx context.Context, q *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	q.Msg.Forwarded = false
	return d.Administrator.Order(ctx, q)
}

// Submit proposes a text in the name of the operator whose token came with it.
func (d direct) Submit(ctx context.Context, q *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	q.Msg.Forwarded = false
	return d.Administrator.Submit(ctx, q)
}
