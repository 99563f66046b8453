package control

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"go.uber.org/fx"

	"github.com/filberthoist/filberthoist/core/loader"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// waitTimeout ends a test that hangs; it does not check the speed.
const waitTimeout = 20 * time.Second

// orderers is the number of senders of orders, each of which evacuates a zone of its own.
const orderers = 8

// testMember is a control process in the test's own process.
type testMember struct {
	app                     *fx.App
	peerAddress, operations string
}

// startMembers starts the members of a new deployment and waits for a leader, which comes first.
func startMembers(t *testing.T) []*testMember {
	t.Helper()
	var out []*testMember
	var founders, zones []string
	for i := range orderers {
		zones = append(zones, fmt.Sprint("north", i, " north"))
	}
	for range 3 {
		out = append(out, &testMember{peerAddress: freeAddress(t), operations: freeAddress(t)})
		founders = append(founders, out[len(out)-1].peerAddress)
	}
	for i, m := range out {
		text := fmt.Sprintf(`[member]
name = control%d
region = north
availabilityZone = north0
[listen]
peer = %s
administration = %s
report = %s
[storage]
folder = %s
[peers]
addresses = %s
form = true
first = true
[regions]
availabilityZones = %s
[roles]
assign = false
[log]
level = error
`, i, m.peerAddress, m.operations, freeAddress(t), t.TempDir(), strings.Join(founders, ", "), strings.Join(zones, ", "))
		s, err := ReadSettings(loader.Parse([]byte(text)))
		if err != nil {
			t.Fatal(err)
		}
		m.app = New(s, Extensions{}).App
		if err := m.app.Start(t.Context()); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = m.app.Stop(context.Background()) }) // a second stop does nothing
	}
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		for i, m := range out {
			r, err := m.client().Status(t.Context(), connect.NewRequest(&wire.StatusRequest{Forwarded: true}))
			if err == nil && r.Msg.GetQuorum() && len(r.Msg.GetMembers()) == len(out) {
				out[0], out[i] = out[i], out[0]
				return out
			}
		}
	}
	t.Fatal("no leader")
	return nil
}

func (m *testMember) client() wireconnect.AdministrationServiceClient {
	return wireconnect.NewAdministrationServiceClient(http.DefaultClient, "http://"+m.operations)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// orderer sends orders on one connection until the member ends it.
type orderer struct {
	address string
	zone    string
	pause   time.Duration
	// accepted and unknown count the answers to orders, refusals those with status 503, and conflicts those
	// that nothing was proposed and that have the fence for the next order.
	accepted, unknown, refusals, conflicts int
	// cut is what ended the connection of an order without an answer.
	cut error
}

func (o *orderer) run() {
	c, err := net.Dial("tcp", o.address)
	if err != nil {
		o.cut = err
		return
	}
	defer c.Close()
	r, fence := bufio.NewReader(c), "null"
	for {
		body := fmt.Sprintf(`{"command":{"evacuate":{"availabilityZone":%q}},"fence":%s}`, o.zone, fence)
		fence = "null"
		_, err := fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
			wireconnect.AdministrationServiceOrderProcedure, len(body), body)
		if err != nil {
			o.cut = err
			return
		}
		p, err := http.ReadResponse(r, nil)
		if err != nil {
			o.cut = err
			return
		}
		var answer struct {
			Result string
			Fence  json.RawMessage
		}
		_ = json.NewDecoder(p.Body).Decode(&answer) // a refusal has none
		_ = p.Body.Close()
		switch {
		case p.StatusCode == http.StatusServiceUnavailable:
			o.refusals++
		case answer.Result == wire.SubmitResult_SUBMIT_RESULT_ACCEPTED.String():
			o.accepted++
		case answer.Result == wire.SubmitResult_SUBMIT_RESULT_CONFLICT.String():
			o.conflicts++
			fence = string(answer.Fence)
		default:
			o.unknown++
		}
		if p.Close {
			return
		}
		time.Sleep(o.pause)
	}
}

// Guards against orders that a stopping leader reads and does not answer, or can't commit any longer
// because it has stopped listening to the other members.
func TestStopAnswersOrders(t *testing.T) {
	is := is.New(t)
	leader := startMembers(t)[0]
	var group sync.WaitGroup
	var senders []*orderer
	for i := range orderers {
		o := &orderer{address: leader.operations, zone: fmt.Sprint("north", i), pause: time.Duration(1+5*i) * time.Millisecond}
		senders = append(senders, o)
		group.Go(o.run)
	}
	entries := wireconnect.NewDistributionServiceClient(http.DefaultClient, "http://"+leader.peerAddress)
	poll := &wire.PollRequest{Member: &wire.EntryMember{Name: "entry", Incarnation: 1}, HoldMilliseconds: 5000, Applied: 1 << 40}
	group.Go(func() { _, _ = entries.Poll(context.Background(), connect.NewRequest(poll)) }) // held over the stop
	time.Sleep(300 * time.Millisecond)
	begun := time.Now()
	is.NoErr(leader.app.Stop(context.Background()))
	t.Logf("stopped in %v", time.Since(begun))
	group.Wait()
	for _, o := range senders {
		t.Logf("%+v", *o)
	}
	for _, o := range senders {
		is.NoErr(o.cut)
		is.True(o.accepted > 0)
		is.Equal(o.unknown, 0)
	}
}
