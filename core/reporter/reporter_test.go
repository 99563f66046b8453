package reporter

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
)

// TestDump checks that a part that can't be encoded is reported as such and hides no other part.
func TestDump(t *testing.T) {
	r := NewReporter(Config{Process: "entry", Name: "e1"})
	defer func() { _ = r.Close() }()
	r.Add("targets", func() any { return map[string]int{"a": 1} })
	r.Add("settings", func() any { return func() {} })
	get := func(path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		return w
	}
	t.Run("all parts", func(t *testing.T) {
		is := is.New(t)
		var out map[string]map[string]any
		is.NoErr(json.Unmarshal(get("/dump").Body.Bytes(), &out))
		is.Equal(out["targets"]["a"], 1.0)
		is.True(out["settings"]["error"] != nil)
	})
	for path, status := range map[string]int{"/dump/targets": 200, "/dump/settings": 500, "/dump/none": 404} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			w := get(path)
			is.Equal(w.Code, status)
			is.True(w.Body.Len() > 0)
		})
	}
}
