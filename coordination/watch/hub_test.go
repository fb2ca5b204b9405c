package watch

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

// pollTimed polls a hub and returns the reply and the duration of the call.
func pollTimed(t *testing.T, hub *Hub, have fleetwire.Version, wait time.Duration) (fleetwire.WatchReply, time.Duration) {
	t.Helper()
	start := time.Now()
	reply, err := hub.Serve(t.Context(), fleetwire.WatchRequest{Have: have, WaitMs: wait.Milliseconds()})
	require.NoError(t, err)
	return reply, time.Since(start)
}

func TestHubRepliesAtOnceWithNewerParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{})
		require.NoError(t, hub.PublishConfig(3, testConfig(3)))
		require.NoError(t, hub.PublishInstances(fleetwire.ListVersion{Token: 1, Sequence: 1}, testList("a")))

		reply, took := pollTimed(t, hub, fleetwire.Version{}, time.Second)
		require.Zero(t, took)
		require.NotNil(t, reply.Config)
		require.NotNil(t, reply.Instances)

		reply, took = pollTimed(t, hub, fleetwire.Version{ConfigRevision: 3}, time.Second)
		require.Zero(t, took)
		require.Nil(t, reply.Config, "only newer parts are sent")
		require.NotNil(t, reply.Instances)
	})
}

func TestHubHoldsPollsAtMostMaxWaitAndRequestedWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{MaxWait: 300 * time.Millisecond})
		_, took := pollTimed(t, hub, fleetwire.Version{}, time.Minute)
		require.Equal(t, 300*time.Millisecond, took)
		reply, took := pollTimed(t, hub, fleetwire.Version{}, 100*time.Millisecond)
		require.Equal(t, 100*time.Millisecond, took)
		require.EqualValues(t, 100, reply.HeldMs)
		_, took = pollTimed(t, hub, fleetwire.Version{}, 0)
		require.Zero(t, took)
	})
}

func TestHubEndsPollsOnlyForNewerVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{})
		list := fleetwire.ListVersion{Token: 1, Sequence: 1}
		require.NoError(t, hub.PublishInstances(list, testList("a")))
		time.AfterFunc(100*time.Millisecond, func() {
			hub.ConfirmInstances(time.Now())
			hub.SetRouters(7)
			hub.SetControllers([]string{"10.0.0.1:1"})
		})
		time.AfterFunc(200*time.Millisecond, func() { _ = hub.PublishConfig(1, testConfig(1)) })
		reply, took := pollTimed(t, hub, fleetwire.Version{Instances: list}, time.Second)
		require.Equal(t, 200*time.Millisecond, took)
		require.EqualValues(t, 1, reply.Now.ConfigRevision)
		require.EqualValues(t, 100, reply.ListAgeMs)
		require.Equal(t, 7, reply.Routers)
		require.Equal(t, []string{"10.0.0.1:1"}, reply.Controllers)
	})
}

func TestHubEndsAllPollsWhenQuorumContactIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var quorum quorumLink
		hub := NewHub(HubOptions{QuorumAge: quorum.age, MaxQuorumAge: 500 * time.Millisecond, MaxWait: time.Minute})
		quorum.lose()
		ended := make(chan time.Duration, 3)
		for range cap(ended) {
			go func() {
				start := time.Now()
				reply, err := hub.Serve(t.Context(), fleetwire.WatchRequest{WaitMs: 30_000})
				if err == nil && reply.QuorumAgeMs >= 500 {
					ended <- time.Since(start)
				}
			}()
		}
		for range cap(ended) {
			require.Equal(t, 500*time.Millisecond, <-ended)
		}
		quorum.regain()
		_, took := pollTimed(t, hub, fleetwire.Version{}, time.Second)
		require.Equal(t, time.Second, took, "polls are held again")
	})
}

func TestHubHoldsPollsWhileQuorumContactIsRenewed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var quorum quorumLink
		quorum.lose()
		hub := NewHub(HubOptions{QuorumAge: quorum.age, MaxQuorumAge: 500 * time.Millisecond, MaxWait: time.Minute})
		renewal := time.AfterFunc(400*time.Millisecond, quorum.lose) // resets the quorum age to zero
		defer renewal.Stop()
		_, took := pollTimed(t, hub, fleetwire.Version{}, 800*time.Millisecond)
		require.Equal(t, 800*time.Millisecond, took)
	})
}

func TestClosedHubReportsStaleQuorumContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{})
		time.AfterFunc(50*time.Millisecond, hub.Close)
		reply, took := pollTimed(t, hub, fleetwire.Version{}, time.Second)
		require.Equal(t, 50*time.Millisecond, took)
		require.Greater(t, fromMillis(reply.QuorumAgeMs), RelayMaxQuorumAge)
		hub.Close()
		_, took = pollTimed(t, hub, fleetwire.Version{}, time.Second)
		require.Zero(t, took)
	})
}

func TestHubEndsPollWhenContextIsCanceled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(10*time.Millisecond, cancel)
		_, err := hub.Serve(ctx, fleetwire.WatchRequest{WaitMs: 1000})
		require.ErrorIs(t, err, context.Canceled)
	})
}

func TestHubEncodesOnceForAllSubscribers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{})
		require.NoError(t, hub.PublishConfig(1, testConfig(1)))
		first, _ := pollTimed(t, hub, fleetwire.Version{}, 0)
		for range 70 {
			next, _ := pollTimed(t, hub, fleetwire.Version{}, 0)
			require.Same(t, &first.Config[0], &next.Config[0], "the encoded configuration must be shared")
		}
	})
}

func TestHubVersionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hub := NewHub(HubOptions{})
		var newest fleetwire.Version
		for range rapid.IntRange(1, 30).Draw(t, "publications") {
			revision := rapid.Uint64Range(1, 9).Draw(t, "revision")
			list := fleetwire.ListVersion{
				Token:    rapid.Uint64Range(1, 4).Draw(t, "token"),
				Sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"),
			}
			if err := hub.PublishConfig(revision, testConfig(revision)); err != nil {
				t.Fatal(err)
			}
			if err := hub.PublishInstances(list, testList(fmt.Sprint(list))); err != nil {
				t.Fatal(err)
			}
			newest.ConfigRevision = max(newest.ConfigRevision, revision)
			if newest.Instances.Less(list) {
				newest.Instances = list
			}
			now := hub.Current()
			if now.Version != newest {
				t.Fatalf("version %v, want %v", now.Version, newest)
			}
			if now.Config.Version != int64(newest.ConfigRevision) || now.Instances[0].ID != fmt.Sprint(newest.Instances) {
				t.Fatalf("version %v has configuration %d and instance %s", newest, now.Config.Version, now.Instances[0].ID)
			}
		}
	})
}

func TestHubCallsOnPollWithMember(t *testing.T) {
	seen := make(chan fleetwire.Member, 1)
	hub := NewHub(HubOptions{OnPoll: func(request *fleetwire.WatchRequest) { seen <- request.Member }})
	member := fleetwire.Member{Name: "frontend-1", Role: fleetwire.RoleAgent}
	_, err := hub.Serve(t.Context(), fleetwire.WatchRequest{Member: member})
	require.NoError(t, err)
	require.Equal(t, member, <-seen)
}

func TestHubServesOverHTTP(t *testing.T) {
	hub := NewHub(HubOptions{})
	mux := http.NewServeMux()
	hub.Register(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	client := transport.NewClient()
	defer client.Close()

	got := make(chan *Snapshot, 4)
	follower := NewFollower(FollowerOptions{
		Sources:  func() []string { return []string{server.Listener.Addr().String()} },
		Client:   client,
		OnChange: func(snapshot *Snapshot) { got <- snapshot },
	})
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() { follower.Run(ctx); close(ended) }()
	require.Zero(t, (<-got).Version, "the hub has quorum contact but no state yet")
	require.NoError(t, hub.PublishConfig(1, largeConfig(350)))
	require.Equal(t, largeConfig(350), (<-got).Config)
	stop()
	<-ended
}
