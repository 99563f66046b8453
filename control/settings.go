package control

import (
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/control/administrator"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/starter"
)

// Settings are those of one control process.
type Settings struct {
	starter.Place
	// PeerAddress serves control members and entries.
	PeerAddress string
	// Advertised is the address under which peers and entries reach PeerAddress.
	Advertised string
	// AdministrationAddress serves operators' commands.
	AdministrationAddress string
	// ReportAddress serves metrics, health and dumps.
	ReportAddress string
	Folder        string
	// Peers are the peer addresses of the other first members.
	Peers []string
	// Founders are the peer addresses of all first members if they form by themselves.
	Founders []string
	// First tells that the deployment starts for the first time, with empty disks.
	First bool
	// Replication bounds the replicated log.
	Replication Replication
	// Zones are the regions of the availability zones, for configurations of items.
	Zones map[string]string
	// Roles tells that entries own accounts and dispatch pools; otherwise each admits and
	// chooses by itself, with its shares of teams' rates.
	Roles bool
	// ListInterval is the pause between readings of the platform's list of targets.
	ListInterval time.Duration
	Operators    administrator.Operators
	TLS          connector.Config
	LogLevel     string
}

// Replication are the times and copies of the replicated log.
type Replication struct {
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// ToleratedLosses is how many members may be lost at once, disks included, right after
	// an acknowledgement.
	ToleratedLosses int
}

// defaultListInterval is the pause between readings of the platform's list.
const defaultListInterval = 500 * time.Millisecond

// ReadSettings reads and checks settings; its error lists every fault.
func ReadSettings(s *loader.Settings) (Settings, error) {
	var out Settings
	out.readPlace(s)
	r := s.Section("storage")
	out.Folder = r.Required("folder")
	r.Finish()
	out.readPeers(s)
	out.readReplication(s)
	out.Zones = starter.ReadZones(s)
	r = s.Section("roles")
	out.Roles = r.Bool("assign", true)
	r.Finish()
	r = s.Section("list")
	out.ListInterval = r.Duration("interval", defaultListInterval, 10*time.Millisecond, time.Minute)
	r.Finish()
	out.LogLevel = starter.ReadLogLevel(s)
	listed := s.Section("administration")
	names := listed.List("operators")
	listed.Finish()
	out.Operators = administrator.ReadOperators(s, names)
	if len(names) == 0 && !strings.HasPrefix(out.AdministrationAddress, "127.") {
		listed.Fail("operators", "missing; without operators the administration listener must be on loopback")
	}
	out.TLS = connector.ReadConfig(s, map[string]string{
		"peer": out.PeerAddress, "administration": out.AdministrationAddress, "report": out.ReportAddress,
	})
	return out, s.Err()
}

// readPeers reads the other first members. Members that form by themselves are listed with
// this one, and may be listed by the addresses of another listener on the same VMs.
func (t *Settings) readPeers(s *loader.Settings) {
	r := s.Section("peers")
	defer r.Finish()
	list := starter.ReadAddresses(r)
	if !r.Bool("form", false) {
		t.Peers = list
		return
	}
	t.First = r.Bool("first", false)
	t.Founders = list
	for _, a := range list {
		if a != t.Advertised {
			t.Peers = append(t.Peers, a)
		}
	}
}

func (t *Settings) readReplication(s *loader.Settings) {
	r := s.Section("replication")
	defer r.Finish()
	t.Replication = Replication{
		ElectionTimeout: r.Duration("electionTimeout", sequencer.ElectionTimeout, 10*time.Millisecond, time.Minute),
		Heartbeat:       r.Duration("heartbeat", sequencer.Heartbeat, time.Millisecond, time.Minute),
		ToleratedLosses: r.Int("toleratedLosses", 1, 0, 10),
	}
	if t.Replication.Heartbeat*2 > t.Replication.ElectionTimeout {
		r.Fail("heartbeat", "more than half of electionTimeout")
	}
}

// Public returns the settings without the operators' digests, for dumps.
func (t Settings) Public() Settings {
	t.Operators = nil
	return t
}

// readPlace reads who the process is and where it listens.
func (t *Settings) readPlace(s *loader.Settings) {
	t.Place = starter.ReadPlace(s)
	r := s.Section("listen")
	t.PeerAddress = r.Address("peer")
	t.Advertised = t.PeerAddress
	if r.Optional("advertised", "") != "" {
		t.Advertised = r.Address("advertised")
	}
	t.AdministrationAddress = r.Address("administration")
	t.ReportAddress = r.Address("report")
	r.Finish()
}
