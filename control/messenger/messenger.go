// Package messenger carries the messages of the replicated log between control members.
package messenger

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/filberthoist/filberthoist/control/sequencer"
	"github.com/filberthoist/filberthoist/core/connector"
	"github.com/filberthoist/filberthoist/core/logger"
	"github.com/filberthoist/filberthoist/core/supervisor"
	"github.com/filberthoist/filberthoist/core/wire"
	"github.com/filberthoist/filberthoist/core/wire/wireconnect"
)

// Bounds of the traffic to one peer.
const (
	queueLength = 1024
	maxBatch    = 256
	// callTimeout is for an empty batch; larger ones get more by their size.
	callTimeout    = 250 * time.Millisecond
	bytesPerSecond = 10 << 20
)

// Config sets up a Messenger.
type Config struct {
	Name string
	// Address is where peers reach this member.
	Address   string
	Logger    logger.Logger
	Connector *connector.Connector
	Group     *supervisor.Group
	// Sequencer takes what peers send; it is set before the first message.
	Sequencer func() *sequencer.Sequencer
}

// Messenger sends to each peer through a queue of its own, and drops what does not fit.
type Messenger struct {
	config Config
	client *http.Client
	mutex  sync.Mutex
	peers  map[uint64]*peer
}

// NewMessenger returns a Messenger without peers; they appear with their first message.
func NewMessenger(c Config) *Messenger {
	return &Messenger{config: c, client: c.Connector.Client(), peers: map[uint64]*peer{}}
}

// Send queues messages for their receivers.
func (m *Messenger) Send(messages []*wire.Message) {
	for _, w := range messages {
		if p := m.peer(w.GetTo()); p != nil {
			p.put(w)
		}
	}
}

// Deliver takes a batch from a peer.
func (m *Messenger) Deliver(_ context.Context, r *connect.Request[wire.DeliverRequest]) (*connect.Response[wire.DeliverResponse], error) {
	m.learn(r.Msg.GetSender())
	m.config.Sequencer().Deliver(r.Msg.GetMessages())
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

// Identify tells a peer which incarnation runs here.
func (m *Messenger) Identify(context.Context, *connect.Request[wire.IdentifyRequest]) (*connect.Response[wire.IdentifyResponse], error) {
	v := m.config.Sequencer().View()
	return connect.NewResponse(&wire.IdentifyResponse{Id: v.ID, Name: m.config.Name, Fresh: !v.Formed()}), nil
}

// IdentifyPeer returns who runs at an address.
func (m *Messenger) IdentifyPeer(ctx context.Context, address string) (*wire.IdentifyResponse, error) {
	c := wireconnect.NewReplicationServiceClient(m.client, m.config.Connector.URL(address))
	r, err := c.Identify(ctx, connect.NewRequest(&wire.IdentifyRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// peer returns the queue of a member, or nil if the members do not name it.
func (m *Messenger) peer(id uint64) *peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if p := m.peers[id]; p != nil {
		return p
	}
	address, name := m.address(id)
	if address == "" {
		return nil
	}
	return m.add(id, name, address)
}

// learn makes a sender known that the members may not name yet.
func (m *Messenger) learn(sender *wire.ControlMember) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if sender.GetId() != 0 && m.peers[sender.GetId()] == nil {
		m.add(sender.GetId(), sender.GetName(), sender.GetAddress())
	}
}

func (m *Messenger) add(id uint64, name, address string) *peer {
	p := &peer{
		name:   name,
		self:   &wire.ControlMember{Id: m.config.Sequencer().View().ID, Name: m.config.Name, Address: m.config.Address},
		logger: m.config.Logger,
		queue:  make(chan *wire.Message, queueLength),
		client: wireconnect.NewReplicationServiceClient(m.client, m.config.Connector.URL(address)),
	}
	m.peers[id] = p
	m.config.Group.Go("peer "+name, p.run)
	return p
}

func (m *Messenger) address(id uint64) (address, name string) {
	for _, c := range m.config.Sequencer().View().Members.GetMembers() {
		if c.GetId() == id {
			return c.GetAddress(), c.GetName()
		}
	}
	return "", ""
}

// peer is the way to one other member.
type peer struct {
	name   string
	self   *wire.ControlMember
	logger logger.Logger
	queue  chan *wire.Message
	client wireconnect.ReplicationServiceClient
	silent bool
}

func (p *peer) put(m *wire.Message) {
	select {
	case p.queue <- m:
	default: // the core sends again
	}
}

func (p *peer) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-p.queue:
			p.deliver(ctx, p.batch(m))
		}
	}
}

func (p *peer) batch(first *wire.Message) *wire.DeliverRequest {
	r := &wire.DeliverRequest{Messages: []*wire.Message{first}, Sender: p.self}
	for range min(len(p.queue), maxBatch) {
		r.Messages = append(r.Messages, <-p.queue)
	}
	return r
}

// deliver sends a batch. A failure loses it, which the core allows for.
func (p *peer) deliver(ctx context.Context, r *wire.DeliverRequest) {
	more := time.Duration(proto.Size(r)) * time.Second / bytesPerSecond
	ctx, cancel := context.WithTimeout(ctx, callTimeout+more)
	defer cancel()
	_, err := p.client.Deliver(ctx, connect.NewRequest(r))
	switch {
	case err != nil && !p.silent:
		p.logger.Log(logger.PeerUnreachable, logger.F("peer", p.name), logger.F("error", err))
	case err == nil && p.silent:
		p.logger.Log(logger.PeerReachable, logger.F("peer", p.name))
	}
	p.silent = err != nil
}
