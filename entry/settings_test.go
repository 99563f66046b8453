package entry

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/loader"
)

const admissionSettings = `[member]
name = e
region = north
availabilityZone = north1
[listen]
callers = 127.0.0.1:8001
peer = 127.0.0.1:8002
report = 127.0.0.1:8003
[control]
addresses = 127.0.0.1:9001
[regions]
availabilityZones = north1 north
[admission]
enabled = true
`

// TestAdmissionSettings checks the defaults of admission, and that bad values fail when settings are read.
func TestAdmissionSettings(t *testing.T) {
	cases := []struct {
		name, line, problem string
	}{
		{"defaults", "", ""},
		{"not a fraction", "short = 85", "short"},
		{"a hold that keeps callers away", "hold = 0.5", "hold"},
		{"unknown key", "leastshare = 0.2", "leastshare"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s, err := ReadSettings(loader.Parse([]byte(admissionSettings + c.line + "\n")))
			if c.problem == "" {
				is.NoErr(err)
				is.True(s.Admits)
				is.Equal(s.Admission.HoldShare, defaultHoldShare)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.problem)) // names the key
		})
	}
}
