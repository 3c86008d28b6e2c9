package owner_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"github.com/bramblemast/bramblemast/pkg/exchange"
	"github.com/bramblemast/bramblemast/pkg/fanout"
	"github.com/bramblemast/bramblemast/pkg/loadshed"
	"github.com/bramblemast/bramblemast/pkg/owner"
	"github.com/bramblemast/bramblemast/pkg/owner/ownerpb"
	"github.com/bramblemast/bramblemast/pkg/peer"
)

// fakeTransport answers pings after a delay; the messages of its streams come from the test.
type fakeTransport struct {
	peer.Streamer
	delay   time.Duration
	opened  []peer.Receive
	pending peer.Stream
}

func (s *fakeTransport) Call(context.Context, peer.Address, peer.Kind, proto.Message, proto.Message) error {
	time.Sleep(s.delay)
	return nil
}

func (s *fakeTransport) Open(_ peer.Address, _ peer.Kind, _ proto.Message, _ time.Duration, receive peer.Receive) peer.Stream {
	s.opened = append(s.opened, receive)
	return s.pending
}

// ownerEvents records which owners were lost, and how long the regained ones were excluded.
type ownerEvents struct {
	lostOwners  []string
	excludedFor []time.Duration
}

func (r *ownerEvents) OwnerLost(name string, _ error) { r.lostOwners = append(r.lostOwners, name) }

func (r *ownerEvents) OwnerRegained(_ string, excludedFor time.Duration) {
	r.excludedFor = append(r.excludedFor, excludedFor)
}

// TestOwnerIsRegainedOnce: a late report and a ping both show that an owner answers, but its return
// counts once.
func TestOwnerIsRegainedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		_, known, nodes := deployment(4, 2)
		transport, events := &fakeTransport{delay: 400 * time.Millisecond}, &ownerEvents{}
		client := owner.NewClient(rosterOf(nodes[0], known, nodes), transport, loadshed.NewAdmitter(), events)
		plan := &fanout.Plan{Deadline: time.Now().Add(time.Minute)}
		for range 2 {
			client.Ask(fanout.Question{Owner: nodes[1].Name, Plan: plan, Request: &exchange.Request{}}, func(fanout.Report) {})
		}
		transport.opened[0](nil, errors.New("connection lost"))

		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- client.Run(ctx) }()
		time.Sleep(300 * time.Millisecond)
		report, err := (&ownerpb.Report{}).MarshalVT()
		g.Expect(err).NotTo(HaveOccurred())
		transport.opened[1](report, nil)
		time.Sleep(time.Second)
		g.Expect(events.excludedFor).To(Equal([]time.Duration{300 * time.Millisecond}))
		cancel()
		g.Expect(<-ended).To(Succeed())
	})
}
