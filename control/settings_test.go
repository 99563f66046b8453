package control

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/core/loader"
)

const goodSettings = `[member]
name = control0
region = north
availabilityZone = north1
[listen]
peer = 127.0.0.1:7100
administration = 127.0.0.1:7101
report = 127.0.0.1:7102
[storage]
folder = /var/lib/filberthoist
[peers]
addresses = 127.0.0.1:7110, 127.0.0.1:7120
`

func TestReadSettings(t *testing.T) {
	cases := []struct {
		name, old, new string
		// problems must all be in the one error.
		problems []string
	}{
		{"good", "", "", nil},
		{"several faults", "name = control0\nregion = north", "region = north\nzone = x",
			[]string{"[member] name: missing", "[member] zone: unknown key"}},
		{"host name", "127.0.0.1:7100", "localhost:7100", []string{"[listen] peer"}},
		{"no TLS outside loopback", "127.0.0.1:7100", "10.0.0.1:7100", []string{"[tls] certificate: missing"}},
		{"operators missing", "127.0.0.1:7101", "10.0.0.1:7101", []string{"[administration] operators: missing"}},
		{"unknown section", "[peers]", "[extra]\nx = 1\n[peers]", []string{"[extra] unknown section"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := ReadSettings(loader.Parse([]byte(strings.Replace(goodSettings, c.old, c.new, 1))))
			is.Equal(err != nil, len(c.problems) > 0)
			for _, p := range c.problems {
				is.True(strings.Contains(err.Error(), p))
			}
		})
	}
}
