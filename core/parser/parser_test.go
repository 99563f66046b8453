package parser

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const goodText = `[configuration]
revision = 1
deployment = test

[region north]
availabilityZones = north1, north2
[region south]
availabilityZones = south1

[link north south]
bitsPerSecond = 4e9
delay = 20ms

[service lamps]
version = v1
dependsOn = store
[service store]
version = v1

[route lampStatus]
service = lamps
path = /lamps/
methods = GET
class = idempotent
timeout = 2s

[target lamps1]
service = lamps
address = 127.0.0.1:9001
region = north
availabilityZone = north1
slots = 5
version = v1
[target store1]
service = store
address = 127.0.0.1:9002
region = south
availabilityZone = south1
slots = 4
version = v1
[target lamps2]
service = lamps
address = 127.0.0.1:9003
region = north
availabilityZone = north2
slots = 5
version = v2

[team landlords]
rate = 100
burst = 50
[key landlords1]
team = landlords
digest = 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08

[move lampsToV2]
service = lamps
from = v1
to = v2
cap = 10%
deadline = 2027-03-01T18:00:00Z
`

func TestParse(t *testing.T) {
	t.Run("good text", func(t *testing.T) {
		is := is.New(t)
		c, problems := Parse(goodText)
		is.NoErr(problems.Err())
		is.Equal(c.Revision, uint64(1))
		is.Equal(len(c.Services["lamps"].Targets), 2)
		is.Equal(c.Moves["lampsToV2"].Cap, 0.1)
		is.True(c.Links[NewLinkName("south", "north")] != nil)
	})
	cases := []struct {
		name, old, new, problem string
	}{
		{"no revision", "revision = 1", "", "[configuration] revision: missing"},
		{"revision zero", "revision = 1", "revision = 0", "revision: 0 is not between"},
		{"unknown key", "slots = 4", "slots = 4\nslot = 4", "[target store1] slot: unknown key"},
		{"unknown section", "[team landlords]", "[crew x]\n[team landlords]", "[crew x] unknown kind"},
		{"cycle", "[service store]\nversion = v1", "[service store]\nversion = v1\ndependsOn = lamps", "cycle: lamps -> store -> lamps"},
		{"unknown dependency", "dependsOn = store", "dependsOn = shop", "service shop is not in the text"},
		{"route to an unknown service", "service = lamps\npath", "service = lamp\npath", "[route lampStatus] service: service lamp is not"},
		{"key of an unknown team", "team = landlords", "team = lords", "team lords is not in the text"},
		{"target in a zone of another region", "availabilityZone = south1", "availabilityZone = north1", "north1 is not in region south"},
		{"target in an unknown region", "region = south", "region = east", "region east is not in the text"},
		{"negative slots", "slots = 4", "slots = -4", "slots: -4 is not between"},
		{"negative rate", "rate = 100", "rate = -1", "rate: -1 is not between"},
		{"cap above 100 %", "cap = 10%", "cap = 110%", "cap: 110% is not above"},
		{"cap without percent", "cap = 10%", "cap = 10", "not a share"},
		{"bad class", "class = idempotent", "class = once", `class: "once" is none of`},
		{"bad address", "127.0.0.1:9002", "store.example:9002", "not an IP address"},
		{"same address", "127.0.0.1:9002", "127.0.0.1:9001", "target lamps1 has the same address"},
		{"bad digest", "digest = 9f86", "digest = 9f8", "not a SHA-256 digest"},
		{"move of unknown version", "to = v2", "to = v3", "no target runs version v3"},
		{"move from other version", "from = v1", "from = v0", "service lamps runs version v1"},
		{"bad deadline", "deadline = 2027-03-01T18:00:00Z", "deadline = tomorrow", "is not a time"},
		{"section twice", "[service store]", "[service lamps]\n[service store]", "the section stands twice"},
		{"section without a name", "[team landlords]", "[team]\nrate = 1\nburst = 1\n[team landlords]", "needs a name"},
		{"block with an invalid prefix length", "[team landlords]", "[clients a]\nregion = north\nblocks = 10.0.0.0/33\n[team landlords]", "is not a block"},
		{"block with host bits", "[team landlords]", "[clients a]\nregion = north\nblocks = 10.0.0.1/8\n[team landlords]", "bits behind its length"},
		{"block twice", "[team landlords]", "[clients a]\nregion = north\nblocks = 10.0.0.0/8, 10.0.0.0/8\n[team landlords]", "stands in clients a already"},
		{"clients in an unknown region", "[team landlords]", "[clients a]\nregion = east\nblocks = ::/0\n[team landlords]", "region east is not in the text"},
		{"move between regions and versions", "to = v2", "to = v2\nfromRegion = north\ntoRegion = south", "not both"},
		{"version without target", "[service store]\nversion = v1", "[service store]\nversion = v9", "no target runs version v9"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkProblem(t, strings.Replace(goodText, c.old, c.new, 1), c.problem)
		})
	}
}

func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../examples/*.text.ini")
	if len(files) < 2 {
		t.Fatal("want the example texts of two deployments")
	}
	for _, f := range files {
		t.Run(filepath.Base(f), func(t *testing.T) {
			is := is.New(t)
			b, err := os.ReadFile(f)
			is.NoErr(err)
			c, problems := Parse(string(b))
			is.NoErr(problems.Err())
			is.Equal(len(c.Teams), 8)
			is.Equal(len(c.Regions), 3)
			is.Equal(len(c.Targets), 44)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add(goodText)
	f.Add("[configuration]\nrevision = x")
	f.Add("[link a]\n[link a b c]\n[move]\n")
	f.Fuzz(func(t *testing.T, text string) {
		c, problems := Parse(text)
		if (c == nil) == (len(problems) == 0) {
			t.Fatal("want either a configuration or problems")
		}
	})
}

func checkProblem(t *testing.T, text, want string) {
	t.Helper()
	is := is.NewRelaxed(t)
	c, problems := Parse(text)
	is.True(c == nil) // no partial configuration
	is.True(strings.Contains(problems.Error(), want))
	if t.Failed() {
		t.Log(problems.Error())
	}
}
