package endtoend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/filberthoist/filberthoist/bench/faker"
	"github.com/filberthoist/filberthoist/bench/generator"
	"github.com/filberthoist/filberthoist/bench/relayer"
	"github.com/filberthoist/filberthoist/cli/commander"
	"github.com/filberthoist/filberthoist/core/digester"
)

// Bounds of waits in these tests. They only end a hanging test and don't check latency.
const (
	waitLimit    = 30 * time.Second
	pollInterval = 50 * time.Millisecond
)

var programFolder string

// TestMain builds the programs once for all tests.
func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "filberthoist")
	if err != nil {
		panic(err)
	}
	programFolder = folder
	for name, module := range map[string]string{"filberthoist-control": "control", "filberthoist-entry": "entry"} {
		build := exec.Command("go", "build", "-o", filepath.Join(folder, name),
			"github.com/filberthoist/filberthoist/"+module+"/cmd/"+name)
		if out, err := build.CombinedOutput(); err != nil {
			panic(string(out))
		}
	}
	status := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(status)
}

// process is a program that the test started.
type process struct {
	t        testing.TB
	name     string
	settings string
	log      *bytes.Buffer
	command  *exec.Cmd
	done     chan struct{}
	frozen   bool
}

// deployment is a complete system on loopback, with fake upstreams in the test process.
type deployment struct {
	security security
	t        testing.TB
	folder   string
	controls []*process
	entries  []*process
	// administrationAddresses, peerAddresses and relays are indexed by control member.
	administrationAddresses []string
	peerAddresses           []string
	relays                  []*relayer.Relay
	callerAddresses         []string
	fakes                   map[string]*faker.Fake
	text                    text
}

// text is the operators' text in parts that tests can change separately.
type text struct {
	revision      int
	targets       []string
	keys          map[string]string
	limits        string
	extraSections string
}

const (
	goodKey  = "end-to-end-key"
	otherKey = "end-to-end-other"
)

// newDeployment starts a deployment without TLS and operators' tokens.
func newDeployment(t testing.TB, entries int) *deployment {
	t.Helper()
	return newSecuredDeployment(t, entries, security{})
}

// security holds the security settings of a deployment: sections for the settings of every
// process, sections for the settings of control members, and flags of operators' commands.
type security struct {
	allSettings     string
	controlSettings string
	commandFlags    []string
}

// newSecuredDeployment starts a deployment and waits until revision 1 is in force and every
// entry serves requests.
func newSecuredDeployment(t testing.TB, entries int, s security) *deployment {
	t.Helper()
	d := &deployment{t: t, folder: t.TempDir(), fakes: map[string]*faker.Fake{}, security: s}
	d.text = text{revision: 1, keys: map[string]string{"good1": goodKey, "other1": otherKey}, limits: "lookupLifetime = 1s\n"}
	for i := range 4 {
		d.addTarget(fmt.Sprintf("lamps%d", i), "lamps")
		d.addTarget(fmt.Sprintf("billing%d", i), "billing")
	}
	d.addControls()
	for i := range entries {
		d.addEntry(i)
	}
	d.mustRun("members", "bootstrap")
	d.applyText()
	d.waitUntil("every entry is live", func() bool {
		_, out, _ := d.runCommand("status")
		return strings.Count(out, "live") == entries
	})
	probe := 0
	for _, a := range d.callerAddresses {
		c := newCaller(t, a)
		d.waitUntil("every entry serves", func() bool {
			probe++ // each request needs its own ID, as an ID may run only once
			r, err := c.send(http.MethodGet, fmt.Sprint("/lamps/ready", probe), goodKey, "")
			return err == nil && r.outcome == "done"
		})
	}
	return d
}

func (d *deployment) addTarget(name, service string) {
	f := faker.NewFake(faker.Config{Name: name, Slots: 5, ServiceTime: 5 * time.Millisecond})
	s := httptest.NewServer(f.Handler())
	d.t.Cleanup(s.Close)
	d.fakes[name] = f
	d.text.targets = append(d.text.targets, fmt.Sprintf(
		"[target %s]\nservice = %s\naddress = %s\nregion = north\navailabilityZone = north1\nslots = 5\nversion = v1\n",
		name, service, s.Listener.Addr()))
}

func (d *deployment) addControls() {
	for range 3 {
		peer := freeAddress(d.t)
		r, err := relayer.NewRelay("127.0.0.1:0", peer)
		if err != nil {
			d.t.Fatal(err)
		}
		d.t.Cleanup(r.Close)
		d.peerAddresses, d.relays = append(d.peerAddresses, peer), append(d.relays, r)
		d.administrationAddresses = append(d.administrationAddresses, freeAddress(d.t))
	}
	for i := range 3 {
		d.controls = append(d.controls, d.startControl(i))
	}
}

func (d *deployment) startControl(i int) *process {
	var others []string
	for j, r := range d.relays {
		if j != i {
			others = append(others, r.Address())
		}
	}
	settings := fmt.Sprintf("[member]\nname = control%d\nregion = north\navailabilityZone = north1\n"+
		"[listen]\npeer = %s\nadvertised = %s\nadministration = %s\nreport = %s\n[storage]\nfolder = %s\n[peers]\naddresses = %s\n",
		i, d.peerAddresses[i], d.relays[i].Address(), d.administrationAddresses[i], freeAddress(d.t), d.dataFolder(i), strings.Join(others, ", ")) + d.security.allSettings + d.security.controlSettings
	return d.startProcess(fmt.Sprintf("control%d", i), "filberthoist-control", settings)
}

func (d *deployment) dataFolder(i int) string {
	return filepath.Join(d.folder, fmt.Sprintf("data%d", i))
}

func (d *deployment) addEntry(i int) {
	var controls []string
	for _, r := range d.relays {
		controls = append(controls, r.Address())
	}
	callers := freeAddress(d.t)
	settings := fmt.Sprintf("[member]\nname = entry%d\nregion = north\navailabilityZone = north1\n"+
		"[listen]\ncallers = %s\npeer = %s\nreport = %s\n[control]\naddresses = %s\n",
		i, callers, freeAddress(d.t), freeAddress(d.t), strings.Join(controls, ", ")) + d.security.allSettings
	d.callerAddresses = append(d.callerAddresses, callers)
	d.entries = append(d.entries, d.startProcess(fmt.Sprintf("entry%d", i), "filberthoist-entry", settings))
}

func (d *deployment) startProcess(name, program, settings string) *process {
	d.t.Helper()
	path := filepath.Join(d.folder, name+".ini")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		d.t.Fatal(err)
	}
	p := &process{t: d.t, name: name, settings: path, log: &bytes.Buffer{}}
	p.start(program)
	d.t.Cleanup(func() {
		p.ensureKilled()
		if d.t.Failed() {
			d.t.Logf("log of %s:\n%s", p.name, p.log)
		}
	})
	return p
}

func (p *process) start(program string) {
	p.command = exec.Command(filepath.Join(programFolder, program), "--settings", p.settings)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.done = make(chan struct{})
	go p.run()
}

func (p *process) run() {
	_ = p.command.Wait() // an error is expected if it is killed
	close(p.done)
}

func (p *process) signal(s syscall.Signal) {
	p.frozen = s == syscall.SIGSTOP
	_ = p.command.Process.Signal(s) // it may have exited
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) ensureKilled() {
	select {
	case <-p.done:
	default:
		p.kill()
	}
}

// runCommand runs an operator's command and returns its exit status and output.
func (d *deployment) runCommand(arguments ...string) (status int, out, problems string) {
	var o, e bytes.Buffer
	c := commander.NewCommander(commander.Config{Out: &o, Err: &e})
	arguments = append(arguments, "--control", strings.Join(d.administrationAddresses, ","))
	status = c.Run(append(arguments, d.security.commandFlags...))
	return status, o.String(), e.String()
}

// mustRun repeats an operator's command until it succeeds, for at most waitLimit.
func (d *deployment) mustRun(arguments ...string) string {
	d.t.Helper()
	var out, problems string
	ok := pollUntil(func() bool {
		var status int
		status, out, problems = d.runCommand(arguments...)
		return status == 0
	})
	if !ok {
		d.t.Fatalf("%v: %s", arguments, problems)
	}
	return out
}

// applyText submits the text and waits until it is in force on every entry.
func (d *deployment) applyText() {
	d.t.Helper()
	d.mustRun("apply", d.writeText(), "--wait")
}

func (d *deployment) writeText() string {
	path := filepath.Join(d.folder, "text.ini")
	if err := os.WriteFile(path, []byte(d.text.String()), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return path
}

// String returns the complete text.
func (x text) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[configuration]\nrevision = %d\ndeployment = test\n[limits]\n%s", x.revision, x.limits)
	b.WriteString("[region north]\navailabilityZones = north1\n")
	b.WriteString("[service lamps]\nversion = v1\n[service billing]\nversion = v1\n")
	b.WriteString("[route status]\nservice = lamps\npath = /lamps/\nmethods = GET, POST\nclass = idempotent\ntimeout = 3s\n")
	b.WriteString("[route help]\nservice = lamps\npath = /help/\nmethods = GET\nclass = open\ntimeout = 3s\n")
	b.WriteString("[route charge]\nservice = billing\npath = /charges/\nmethods = POST\nclass = atMostOnce\ntimeout = 3s\n")
	b.WriteString("[team good]\nrate = 10000\nburst = 10000\n[team small]\nrate = 5\nburst = 5\n")
	for name, key := range x.keys {
		fmt.Fprintf(&b, "[key %s]\nteam = good\ndigest = %s\n", name, digester.Key(key))
	}
	b.WriteString(strings.Join(x.targets, ""))
	b.WriteString(x.extraSections)
	return b.String()
}

// response is the response that a caller received.
type response struct {
	status  int
	outcome string
	body    string
	header  http.Header
}

// caller is a client that reuses its connection to one entry.
type caller struct {
	client  *http.Client
	address string
	// extraHeaders are sent with each request.
	extraHeaders http.Header
}

func newCaller(t testing.TB, address string) *caller {
	c := &caller{client: &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}, address: address}
	t.Cleanup(c.client.CloseIdleConnections)
	return c
}

func (c *caller) send(method, path, key, body string) (response, error) {
	q, err := http.NewRequestWithContext(context.Background(), method, "http://"+c.address+path, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if key != "" {
		q.Header.Set("Filberthoist-Key", key)
	}
	q.Header.Set("Load-Id", path)
	for name, values := range c.extraHeaders {
		q.Header[name] = values
	}
	r, err := c.client.Do(q)
	if err != nil {
		return response{}, err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return response{r.StatusCode, r.Header.Get("Filberthoist-Outcome"), string(b), r.Header}, err
}

func (d *deployment) waitUntil(what string, condition func() bool) {
	d.t.Helper()
	if !pollUntil(condition) {
		d.t.Fatalf("not within %v: %s", waitLimit, what)
	}
}

func pollUntil(condition func() bool) bool {
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(pollInterval) {
		if condition() {
			return true
		}
	}
	return false
}

// leader returns the index of the control member that is the leader.
func (d *deployment) leader() int {
	d.t.Helper()
	leader := -1
	d.waitUntil("a leader is known", func() bool {
		_, out, _ := d.runCommand("status")
		_, err := fmt.Sscanf(out, "leader control%d", &leader)
		return err == nil
	})
	return leader
}

func (d *deployment) checkServed(c *caller, key string) {
	d.t.Helper()
	is := is.New(d.t)
	r, err := c.send(http.MethodGet, "/lamps/7", key, "")
	is.NoErr(err)
	is.Equal(r.status, http.StatusOK)
	is.Equal(r.outcome, "done")
	is.True(strings.HasPrefix(r.body, "GET /lamps/7 /lamps/7 by lamps"))
}

// The ports of the programs are below the ephemeral port range. Otherwise an outgoing
// connection could take a port between its choice and the start of the program.
const (
	firstPort = 20_000
	lastPort  = 30_000
)

var nextPort = firstPort + os.Getpid()*97%(lastPort-firstPort)

func freeAddress(t testing.TB) string {
	t.Helper()
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		l, err := net.Listen("tcp", address)
		if err == nil {
			_ = l.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// startLoad sends requests for lamps through all entries, at a rate and for a duration. The
// returned function waits until the load is complete and returns its report.
func (d *deployment) startLoad(rate float64, duration time.Duration) func() generator.Report {
	is := is.New(d.t)
	g, err := generator.NewGenerator(generator.Config{
		LookupAddresses: d.callerAddresses, Service: "lamps", Method: http.MethodGet, Path: "/lamps/7",
		Key: goodKey, Rate: rate, Duration: duration, Seed: 1,
	})
	is.NoErr(err)
	done := make(chan generator.Report, 1)
	go func() { done <- g.Run(d.t.Context()) }()
	return func() generator.Report { return <-done }
}
