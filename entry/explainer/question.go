package explainer

import (
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Question describes a request that is not sent.
type Question struct {
	Method string
	Host   string
	// Path is the path of the request, with the query if it has one.
	Path string
	// Team is the name of the caller's team; empty for none.
	Team string
	// Object is the object that the request is about, and ID the request's ID; both are optional.
	Object string
	ID     string
	// Region and Zone are the caller's; empty if unknown.
	Region string
	Zone   string
	// Timeout is how long the caller waits; 0 if it does not say.
	Timeout time.Duration
}

// Names of the parameters of a question.
const (
	methodParameter  = "method"
	hostParameter    = "host"
	pathParameter    = "path"
	teamParameter    = "team"
	objectParameter  = "object"
	idParameter      = "id"
	regionParameter  = "region"
	zoneParameter    = "zone"
	timeoutParameter = "timeout"
	formatParameter  = "format"
)

var parameters = []string{
	methodParameter, hostParameter, pathParameter, teamParameter, objectParameter, idParameter, regionParameter, zoneParameter,
	timeoutParameter, formatParameter,
}

// ParseQuestion reads a question from the parameters of a call. Its errors are for the operator.
func ParseQuestion(v url.Values) (Question, error) {
	for name, values := range v {
		if !slices.Contains(parameters, name) {
			return Question{}, errors.Errorf("%s: unknown; the parameters are %s", name, strings.Join(parameters, ", "))
		}
		if len(values) > 1 {
			return Question{}, errors.Errorf("%s: given %d times", name, len(values))
		}
	}
	q := Question{
		Method: v.Get(methodParameter), Host: v.Get(hostParameter), Path: v.Get(pathParameter), Team: v.Get(teamParameter),
		Object: v.Get(objectParameter), ID: v.Get(idParameter), Region: v.Get(regionParameter), Zone: v.Get(zoneParameter),
	}
	if q.Method == "" {
		q.Method = http.MethodGet
	}
	if !strings.HasPrefix(q.Path, "/") {
		return Question{}, errors.Errorf("path: %q does not begin with /", q.Path)
	}
	if strings.ContainsAny(q.Host, "/?#@ ") {
		return Question{}, errors.Errorf("host: %q is no host name", q.Host)
	}
	if text := v.Get(timeoutParameter); text != "" {
		d, err := time.ParseDuration(text)
		if err != nil || d < time.Millisecond {
			return Question{}, errors.Errorf("timeout: %q is no duration of at least 1ms, such as 1500ms", text)
		}
		q.Timeout = d
	}
	return q, nil
}

// newRequest returns the request of a question.
func (q Question) newRequest(deadlineHeader, objectCookie string) (*http.Request, error) {
	r, err := http.NewRequest(q.Method, q.Path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "method or path")
	}
	r.Host, r.RequestURI = q.Host, q.Path
	if q.Timeout > 0 {
		r.Header.Set(deadlineHeader, strconv.FormatInt(q.Timeout.Milliseconds(), 10))
	}
	if q.Object != "" && objectCookie != "" {
		r.AddCookie(&http.Cookie{Name: objectCookie, Value: q.Object})
	}
	return r, nil
}
