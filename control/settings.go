package control

import (
	"strings"
	"time"

	"github.com/filberthoist/filberthoist/control/accountant"
	"github.com/filberthoist/filberthoist/control/administrator"
	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/starter"
)

// Settings configures one control process.
type Settings struct {
	starter.Place
	// PeerAddress is the address that serves control members and entries.
	PeerAddress string
	// Advertised is the address at which peers and entries reach PeerAddress.
	Advertised string
	// AdministrationAddress is the address that serves operators' commands.
	AdministrationAddress string
	// ReportAddress is the address that serves metrics, health and dumps.
	ReportAddress string
	// Folder is the data folder of the replicated log.
	Folder string
	// Peers are the peer addresses of the other initial members.
	Peers []string
	// Founders are the peer addresses of all initial members if they form the deployment without
	// an operator.
	Founders []string
	// First is set if the deployment starts for the first time, with empty disks.
	First bool
	// Replication configures the replicated log.
	Replication Replication
	// Zones maps each availability zone to its region. Configurations of items need it.
	Zones map[string]string
	// Roles is set if control assigns each team's rate to an owner entry and each pool to a
	// dispatcher. Otherwise each entry admits by its shares of the teams' rates and picks targets
	// itself.
	Roles bool
	// ListInterval is the pause between two reads of the platform's list of targets.
	ListInterval time.Duration
	// Usage configures the reports of usage to the platform. The platform's build sets it.
	Usage     accountant.Settings
	Operators administrator.Operators
	TLS       connector.Config
	LogLevel  string
}

// Replication holds the timing and the redundancy of the replicated log.
type Replication struct {
	ElectionTimeout time.Duration
	Heartbeat       time.Duration
	// ToleratedLosses is the number of members that may be lost at once, disks included, right
	// after an acknowledgement, without loss of the acknowledged entry.
	ToleratedLosses int
}

// defaultListInterval is the default of Settings.ListInterval.
const defaultListInterval = 500 * time.Millisecond

// ReadSettings reads and checks the settings. Its error lists every fault.
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
	administration := s.Section("administration")
	names := administration.List("operators")
	administration.Finish()
	out.Operators = administrator.ReadOperators(s, names)
	if len(names) == 0 && !strings.HasPrefix(out.AdministrationAddress, "127.") {
		administration.Fail("operators", "missing; without operators the administration listener must be on loopback")
	}
	out.TLS = connector.ReadConfig(s, map[string]string{
		"peer": out.PeerAddress, "administration": out.AdministrationAddress, "report": out.ReportAddress,
	})
	return out, s.Err()
}

// readPeers reads the addresses of the initial members. The list includes this member only if
// the members form the deployment without an operator. It may hold the addresses of another
// listener on the same VMs; a key then replaces their ports (starter.ReadAddresses).
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

// Public returns the settings without the digests of the operators' tokens, for dumps.
func (t Settings) Public() Settings {
	t.Operators = nil
	return t
}

// readPlace reads the name and location of the process and the addresses that it listens on.
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
