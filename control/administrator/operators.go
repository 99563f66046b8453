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

// anonymous is the operator's name in requests that are not authenticated.
const anonymous = "anonymous"

// Operators maps each operator's name to the digest of the operator's token.
type Operators map[string]digester.Digest

type operatorKey struct{}

// ReadOperators reads the token digests of the named operators from the section [operators].
// It reports each missing or malformed digest as a fault of the settings.
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

// Authenticate serves requests with the token of a listed operator, and all requests if no
// operator is listed. It answers other requests with status 401.
func Authenticate(o Operators, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		name, ok := o.identify(q.Header.Get("Authorization"))
		if !ok {
			http.Error(w, "the token is not an operator's", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, q.WithContext(context.WithValue(q.Context(), operatorKey{}, name)))
	})
}

// identify returns the operator whose token is in an Authorization header. It compares the token
// with every digest in constant time, so that its duration reveals nothing about the digests.
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

// operatorHandler handles calls that come from operators and not from other control members.
type operatorHandler struct {
	*Administrator
}

// NewOperatorHandler returns a handler for operators' calls. It clears the flag that marks an
// order or a text as forwarded, which only control members may set.
func NewOperatorHandler(a *Administrator) wireconnect.AdministrationServiceHandler {
	return operatorHandler{a}
}

// Order proposes an order as one that was not forwarded.
func (d operatorHandler) Order(ctx context.Context, q *connect.Request[wire.OrderRequest]) (*connect.Response[wire.OrderResponse], error) {
	q.Msg.Forwarded = false
	return d.Administrator.Order(ctx, q)
}

// Submit proposes a text on behalf of the authenticated operator.
func (d operatorHandler) Submit(ctx context.Context, q *connect.Request[wire.SubmitRequest]) (*connect.Response[wire.SubmitResponse], error) {
	q.Msg.Forwarded = false
	return d.Administrator.Submit(ctx, q)
}
