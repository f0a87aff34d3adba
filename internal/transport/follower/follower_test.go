package follower_test

import (
	"context"
	"crypto/ed25519"
	"math/rand/v2"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"corneltiller.dev/corneltiller/internal/coordination/archive"
	"corneltiller.dev/corneltiller/internal/coordination/change"
	"corneltiller.dev/corneltiller/internal/coordination/rollout"
	"corneltiller.dev/corneltiller/internal/standin/platform"
	"corneltiller.dev/corneltiller/internal/state/catalog"
	"corneltiller.dev/corneltiller/internal/transport/follower"
	"corneltiller.dev/corneltiller/internal/transport/link"
	"corneltiller.dev/corneltiller/internal/transport/store"
)

// waitLimit bounds the wait for a version; no test waits for it to pass.
const waitLimit = 20 * time.Second

// node is a running follower with its server for other followers' messages.
type node struct {
	*follower.Follower
	member  rollout.Member
	applied chan catalog.Version
}

// start runs a follower whose members are the others and, if it has a store as
// balancers do, itself.
func start(t *testing.T, st *store.Client, others ...rollout.Member) *node {
	mux := link.NewMux()
	hs := httptest.NewServer(&link.Server{Mux: mux})
	pool := link.NewPool(nil)
	no := &node{
		member:  rollout.Member{Address: netip.MustParseAddrPort(hs.Listener.Addr().String()), Domain: "almaty-a"},
		applied: make(chan catalog.Version, 16),
	}
	no.Follower = follower.New(follower.Config{
		Self:  no.member,
		Store: st,
		Pool:  pool,
		Apply: func(co *catalog.Configuration) { no.applied <- co.Version },
	})
	no.Register(mux)
	if st != nil {
		others = append(others, no.member)
	}
	no.SetMembers(others)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = no.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		pool.Close()
		hs.CloseClientConnections()
		hs.Close()
	})
	return no
}

// await returns the next version that the node puts in force, the zero version if
// none comes within waitLimit.
func (no *node) await() catalog.Version {
	select {
	case ve := <-no.applied:
		return ve
	case <-time.After(waitLimit):
		return catalog.Version{}
	}
}

// initialize writes the first configuration to the store.
func initialize(cl *store.Client) change.Outcome {
	key := ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize))
	random := rand.New(rand.NewPCG(7, 7))
	co := change.NewCommit(change.Request{
		Owner:   "zhuldyz",
		Initial: true,
		Sign:    func(text []byte) []byte { return ed25519.Sign(key, text) },
		Edits: []change.Edit{{Apply: func(co *catalog.Configuration) error {
			co.Owners = []catalog.Owner{{Name: "zhuldyz", Key: change.PublicKey(key)}}
			return nil
		}}},
		Deadline: time.Now().Add(waitLimit),
	}, random)
	if err := cl.Run(context.Background(), archive.New(archive.DefaultPolicy, random), co, co.Deadline); err != nil {
		panic(err)
	}
	return co.Outcome()
}

func TestFollowers(t *testing.T) {
	Convey("Given a balancer's follower that reads the store", t, func() {
		se := platform.New()
		hs := httptest.NewServer(se)
		t.Cleanup(hs.Close)
		cl := &store.Client{Address: netip.MustParseAddrPort(hs.Listener.Addr().String())}
		balancer := start(t, cl)
		So(initialize(cl).Kind, ShouldEqual, change.OutcomeAccepted)
		first := catalog.Version{Term: 1, Number: 1}
		So(balancer.await(), ShouldResemble, first)

		Convey("the followers of an agent and of another balancer that start during a store outage get the version from the first follower", func() {
			se.SetOutage(true)
			agent := start(t, nil, balancer.member)
			So(agent.await(), ShouldResemble, first)
			late := start(t, &store.Client{Address: cl.Address}, balancer.member)
			So(late.await(), ShouldResemble, first)
			So(balancer.State().Version(), ShouldResemble, first)
		})
	})
}
