package forwarder

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/parser"
	"github.com/filberthoist/filberthoist/core/timekeeper"
	"github.com/filberthoist/filberthoist/entry/handler"
)

// Guards against a target whose response reads as if another entry had declined the request.
func TestTargetDeclinesForNoEntry(t *testing.T) {
	for _, delegated := range []bool{false, true} {
		t.Run(fmt.Sprintf("delegated %t", delegated), func(t *testing.T) {
			is := is.New(t)
			d := handler.DefaultDialect()
			d.Leaving = "Leaving"
			f := NewForwarder(Config{Clock: timekeeper.NewClock(), Fresh: func() bool { return true }, Dialect: &d})
			t.Cleanup(f.Close)
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set(handler.DelegatedHeader, "isolated")
				if r.URL.RawQuery == "leaving" {
					w.Header().Set("Leaving", "1")
				}
			}))
			defer s.Close()
			for query, want := range map[string]string{"": "", "leaving": "lamp7"} {
				e, w := newExchange(parser.ClassAtMostOnce, http.MethodPost, "12.50")
				e.Request.RequestURI += "?" + query
				e.Delegated = delegated
				f.Forward(context.Background(), e, &parser.Target{Name: "lamp7", Address: s.Listener.Addr().String()})
				if !delegated {
					want = ""
				}
				is.Equal(w.Header().Get(handler.DelegatedHeader), want)
			}
		})
	}
}

// TestParseRetryAfter checks all kinds of values, those that targets should not send included.
func TestParseRetryAfter(t *testing.T) {
	const date = "Sat, 05 Dec 2026 10:00:00 GMT"
	cases := []struct {
		name   string
		values []string
		date   string
		want   time.Duration
		ok     bool
	}{
		{"none", nil, "", 0, true},
		{"seconds", []string{"3"}, "", 3 * time.Second, true},
		{"a fraction", []string{" 0.25 "}, "", 250 * time.Millisecond, true},
		{"zero", []string{"0"}, "", 0, true},
		{"negative", []string{"-3"}, "", 0, false},
		{"huge", []string{"1e300"}, "", maxTurnAway, true},
		{"not a number", []string{"NaN"}, "", 0, false},
		{"infinite", []string{"Inf"}, "", 0, false},
		{"unreadable", []string{"soon"}, "", 0, false},
		{"empty", []string{""}, "", 0, false},
		{"doubled", []string{"2", "5"}, "", 5 * time.Second, true},
		{"doubled, one unreadable", []string{"2", "soon"}, "", 2 * time.Second, false},
		{"a date", []string{"Sat, 05 Dec 2026 10:00:07 GMT"}, date, 7 * time.Second, true},
		{"a date in the past", []string{"Sat, 05 Dec 2026 09:00:07 GMT"}, date, 0, true},
		{"a date without the target's time", []string{"Sat, 05 Dec 2026 10:00:07 GMT"}, "", 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := http.Header{"Retry-After": c.values}
			if c.date != "" {
				h.Set("Date", c.date)
			}
			d, ok := parseRetryAfter(h)
			is.Equal(d, c.want)
			is.Equal(ok, c.ok)
		})
	}
}

// FuzzParseRetryAfter checks that no value yields a time out of bounds.
func FuzzParseRetryAfter(f *testing.F) {
	f.Add("3", "")
	f.Add("Sat, 05 Dec 2026 10:00:07 GMT", "Sat, 05 Dec 2026 10:00:00 GMT")
	f.Fuzz(func(t *testing.T, value, date string) {
		d, _ := parseRetryAfter(http.Header{"Retry-After": {value}, "Date": {date}})
		is.New(t).True(d >= 0 && d <= maxTurnAway)
	})
}

// TestStatesLeaving checks the values of the header that announces that a target leaves.
func TestStatesLeaving(t *testing.T) {
	for value, want := range map[string]bool{"1": true, " 1 ": true, "0": false, "": false, "yes": false} {
		t.Run(value, func(t *testing.T) {
			is.New(t).Equal(statesLeaving("Server-Leaving", http.Header{"Server-Leaving": {value}}), want)
		})
	}
	t.Run("no such header", func(t *testing.T) {
		is.New(t).True(!statesLeaving("", http.Header{"": {"1"}}))
	})
}
