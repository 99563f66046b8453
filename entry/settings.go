package entry

import (
	"time"

	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/starter"
)

// defaultDrain bounds the wait for requests under way at shutdown.
const defaultDrain = 30 * time.Second

// Settings are those of one entry process.
type Settings struct {
	starter.Place
	// CallerAddress serves look-ups and requests.
	CallerAddress string
	// PeerAddress serves other entries.
	PeerAddress string
	// ReportAddress serves metrics, health and dumps.
	ReportAddress string
	// Controls are the peer addresses of the control members.
	Controls []string
	// Platform is the address of the platform's list of VMs; empty for none.
	Platform string
	Drain    time.Duration
	TLS      connector.Config
	LogLevel string
}

// ReadSettings reads and checks settings; its error lists every fault.
func ReadSettings(s *loader.Settings) (Settings, error) {
	var out Settings
	out.readPlace(s)
	r := s.Section("control")
	out.Controls = r.Addresses("addresses")
	r.Finish()
	r = s.Section("platform")
	if r.Optional("list", "") != "" {
		out.Platform = r.Address("list")
	}
	r.Finish()
	r = s.Section("shutdown")
	out.Drain = r.Duration("drain", defaultDrain, 0, 10*time.Minute)
	r.Finish()
	out.LogLevel = starter.ReadLogLevel(s)
	out.TLS = connector.ReadConfig(s, map[string]string{"peer": out.PeerAddress, "report": out.ReportAddress})
	return out, s.Err()
}

// readPlace reads who the process is and where it listens.
func (t *Settings) readPlace(s *loader.Settings) {
	t.Place = starter.ReadPlace(s)
	r := s.Section("listen")
	t.CallerAddress = r.Address("callers")
	t.PeerAddress = r.Address("peer")
	t.ReportAddress = r.Address("report")
	r.Finish()
}
