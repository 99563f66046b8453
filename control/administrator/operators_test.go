package administrator

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/digester"
	"github.com/filberthoist/filberthoist/core/loader"
)

func TestGuard(t *testing.T) {
	listed := Operators{"alice": digester.Key("secret"), "bob": digester.Key("other")}
	cases := []struct {
		name      string
		operators Operators
		header    string
		status    int
		operator  string
	}{
		{"valid token", listed, "Bearer secret", http.StatusOK, "alice"},
		{"token of another operator", listed, "Bearer other", http.StatusOK, "bob"},
		{"wrong token", listed, "Bearer wrong", http.StatusUnauthorized, ""},
		{"no token", listed, "", http.StatusUnauthorized, ""},
		{"no operators listed", nil, "", http.StatusOK, anonymous},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			seen := ""
			h := Authenticate(c.operators, http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) { seen = operatorOf(q.Context()) }))
			q, w := httptest.NewRequest(http.MethodPost, "/", nil), httptest.NewRecorder()
			q.Header.Set("Authorization", c.header)
			h.ServeHTTP(w, q)
			is.Equal(w.Code, c.status)
			is.Equal(seen, c.operator)
		})
	}
}

func TestReadOperators(t *testing.T) {
	cases := []struct {
		name, text string
		good       bool
	}{
		{"good", "[operators]\nalice = " + digester.Key("secret").String(), true},
		{"token instead of digest", "[operators]\nalice = secret", false},
		{"missing digest", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := loader.Parse([]byte(c.text))
			ReadOperators(s, []string{"alice"})
			is.Equal(s.Err() == nil, c.good)
		})
	}
}
