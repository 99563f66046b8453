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

// Limits of the traffic to one peer.
const (
	queueLength = 1024
	// maxBatch limits the queued messages that are sent together with the first one.
	maxBatch = 256
	// deliverTimeout applies to an empty batch. A batch has additional time for its size, at
	// minBytesPerSecond.
	deliverTimeout    = 250 * time.Millisecond
	minBytesPerSecond = 10 << 20
)

// Config configures a Messenger.
type Config struct {
	Name string
	// Address is the address at which peers reach this member.
	Address   string
	Logger    logger.Logger
	Connector *connector.Connector
	Group     *supervisor.Group
	// Sequencer returns the sequencer, which receives the messages of peers. The sequencer is
	// created after the Messenger, and before the first message.
	Sequencer func() *sequencer.Sequencer
}

// Messenger sends messages to each peer through a queue per peer. It drops messages that don't
// fit into the queue.
type Messenger struct {
	config Config
	client *http.Client
	mutex  sync.Mutex
	peers  map[uint64]*peer
}

// NewMessenger returns a Messenger without peers. A peer is added with the first message to or
// from it.
func NewMessenger(c Config) *Messenger {
	return &Messenger{config: c, client: c.Connector.Client(), peers: map[uint64]*peer{}}
}

// Send queues messages for their receivers. It drops messages to unknown members.
func (m *Messenger) Send(messages []*wire.Message) {
	for _, w := range messages {
		if p := m.peer(w.GetTo()); p != nil {
			p.enqueue(w)
		}
	}
}

// Deliver handles a batch of messages from a peer.
func (m *Messenger) Deliver(_ context.Context, r *connect.Request[wire.DeliverRequest]) (*connect.Response[wire.DeliverResponse], error) {
	m.addSender(r.Msg.GetSender())
	m.config.Sequencer().Deliver(r.Msg.GetMessages())
	return connect.NewResponse(&wire.DeliverResponse{}), nil
}

// Identify returns the name and the incarnation of this member, and whether it is not yet part
// of a deployment.
func (m *Messenger) Identify(context.Context, *connect.Request[wire.IdentifyRequest]) (*connect.Response[wire.IdentifyResponse], error) {
	v := m.config.Sequencer().View()
	return connect.NewResponse(&wire.IdentifyResponse{Id: v.ID, Name: m.config.Name, Fresh: !v.Bootstrapped()}), nil
}

// IdentifyPeer calls Identify on the control process at an address.
func (m *Messenger) IdentifyPeer(ctx context.Context, address string) (*wire.IdentifyResponse, error) {
	c := wireconnect.NewReplicationServiceClient(m.client, m.config.Connector.URL(address))
	r, err := c.Identify(ctx, connect.NewRequest(&wire.IdentifyRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// peer returns the peer with an ID. It returns nil if the peer is neither known nor a member.
func (m *Messenger) peer(id uint64) *peer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if p := m.peers[id]; p != nil {
		return p
	}
	address, name := m.memberAddress(id)
	if address == "" {
		return nil
	}
	return m.addPeer(id, name, address)
}

// addSender adds the sender of a batch as a peer, since the membership known here may not
// include it yet.
func (m *Messenger) addSender(sender *wire.ControlMember) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if sender.GetId() != 0 && m.peers[sender.GetId()] == nil {
		m.addPeer(sender.GetId(), sender.GetName(), sender.GetAddress())
	}
}

func (m *Messenger) addPeer(id uint64, name, address string) *peer {
	p := &peer{
		name:   name,
		sender: &wire.ControlMember{Id: m.config.Sequencer().View().ID, Name: m.config.Name, Address: m.config.Address},
		logger: m.config.Logger,
		queue:  make(chan *wire.Message, queueLength),
		client: wireconnect.NewReplicationServiceClient(m.client, m.config.Connector.URL(address)),
	}
	m.peers[id] = p
	m.config.Group.Go("peer "+name, p.run)
	return p
}

func (m *Messenger) memberAddress(id uint64) (address, name string) {
	for _, c := range m.config.Sequencer().View().Members.GetMembers() {
		if c.GetId() == id {
			return c.GetAddress(), c.GetName()
		}
	}
	return "", ""
}

// peer sends messages to one other control member.
type peer struct {
	name        string
	sender      *wire.ControlMember
	logger      logger.Logger
	queue       chan *wire.Message
	client      wireconnect.ReplicationServiceClient
	unreachable bool
}

func (p *peer) enqueue(m *wire.Message) {
	select {
	case p.queue <- m:
	default: // dropped; the replicator sends again
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
	r := &wire.DeliverRequest{Messages: []*wire.Message{first}, Sender: p.sender}
	for range min(len(p.queue), maxBatch) {
		r.Messages = append(r.Messages, <-p.queue)
	}
	return r
}

// deliver sends a batch. The batch is lost if the call fails, which the replicator tolerates.
func (p *peer) deliver(ctx context.Context, r *wire.DeliverRequest) {
	transferTime := time.Duration(proto.Size(r)) * time.Second / minBytesPerSecond
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout+transferTime)
	defer cancel()
	_, err := p.client.Deliver(ctx, connect.NewRequest(r))
	switch {
	case err != nil && !p.unreachable:
		p.logger.Log(logger.PeerUnreachable, logger.F("peer", p.name), logger.F("error", err))
	case err == nil && p.unreachable:
		p.logger.Log(logger.PeerReachable, logger.F("peer", p.name))
	}
	p.unreachable = err != nil
}
