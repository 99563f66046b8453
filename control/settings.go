package control

import (
	"strings"

	"github.com/filberthoist/filberthoist/control/administrator"
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
	Peers     []string
	Operators administrator.Operators
	TLS       connector.Config
	LogLevel  string
}

// ReadSettings reads and checks settings; its error lists every fault.
func ReadSettings(s *loader.Settings) (Settings, error) {
	var out Settings
	out.readPlace(s)
	r := s.Section("storage")
	out.Folder = r.Required("folder")
	r.Finish()
	r = s.Section("peers")
	out.Peers = r.Addresses("addresses")
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
