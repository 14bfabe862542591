package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/wheatroad/wheatroad/internal/pool"
	"github.com/wheatroad/wheatroad/internal/uptime"
)

const testConfigurationAge = 4 * time.Second

// newRegionalNode returns a node of region "far" that is no candidate, in a cluster of two regions
// with one candidate of region "near" and the given number of candidates of region "far".
func newRegionalNode(t *testing.T, farCandidates int) *testNode {
	n := newTestNode(t, 0.2, nil)
	n.options.Region, n.options.SeveralRegions, n.options.MaxConfigurationAge = "far", true, testConfigurationAge
	n.fallbackAge = newFallbackAge(testConfigurationAge)
	n.memberSample.candidates, n.memberSample.partial = map[string]bool{}, true
	add := func(name, region string) {
		n.memberSample.members[name] = member{Name: name, Address: name, Region: region}
		n.memberSample.candidates[name] = true
	}
	add("near-1", "near")
	for i := range farCandidates {
		add(fmt.Sprintf("far-%d", i+1), "far")
	}
	n.memberSample.readAt = n.now()
	n.startedAt = n.now().Add(-time.Minute)
	n.confirmAgo(0)
	return n
}

// confirmAgo sets the age of the configuration's confirmation.
func (n *testNode) confirmAgo(d time.Duration) {
	at := uptime.Now().Add(-d)
	n.confirmedAt.Store(&at)
}

func TestConfigurationFollowers(t *testing.T) {
	cases := map[string]struct {
		change func(n *testNode)
		want   bool
	}{
		"confirmed by others":         {func(*testNode) {}, true},
		"one region":                  {func(n *testNode) { n.options.SeveralRegions = false }, false},
		"owner of a pool":             {func(n *testNode) { n.owned[poolName] = &pool.Pool{} }, false},
		"candidate":                   {func(n *testNode) { n.memberSample.candidates["node-1"] = true }, false},
		"small cluster":               {func(n *testNode) { n.memberSample.partial = false }, false},
		"stale":                       {func(n *testNode) { n.confirmAgo(staleConfirmationAge + 100*time.Millisecond) }, true},
		"unconfirmed for too long":    {func(n *testNode) { n.confirmAgo(3 * testConfigurationAge / 4) }, false},
		"just started, unconfirmed":   {func(n *testNode) { n.startedAt = n.now(); n.confirmedAt.Store(nil) }, true},
		"just started, no sample yet": {func(n *testNode) { n.startedAt = n.now(); n.memberSample.readAt = time.Time{} }, true},
		"no sample for too long":      {func(n *testNode) { n.memberSample.readAt = time.Time{} }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			n := newRegionalNode(t, 2)
			c.change(n)
			require.Equal(t, c.want, n.isConfigurationFollower())
		})
	}
	require.False(t, newRegionalNode(t, 0).isConfigurationFollower(), "no candidate in the region")
}

// TestFollowersFallBackAtDifferentTimes guards against followers that all read the store at once
// when their owner is gone.
func TestFollowersFallBackAtDifferentTimes(t *testing.T) {
	ages := map[time.Duration]bool{}
	for range 20 {
		fallbackAge := newFallbackAge(testConfigurationAge)
		require.GreaterOrEqual(t, fallbackAge, testConfigurationAge/2)
		require.Less(t, fallbackAge, 3*testConfigurationAge/4)
		ages[fallbackAge] = true
	}
	require.Greater(t, len(ages), 10)
}

// TestFollowersDownloadWithinTheirRegion: a version that the owner in another region reports is
// downloaded from a candidate of the node's own region.
func TestFollowersDownloadWithinTheirRegion(t *testing.T) {
	n := newRegionalNode(t, 2)
	for range 10 {
		require.Contains(t, []string{"far-1", "far-2"}, n.downloadAddress("near-1"))
	}
	require.Equal(t, "far-2", n.downloadAddress("far-2"))
	for _, target := range n.configurationPollTargets() {
		require.Equal(t, "far", target.Region)
	}
	n.options.SeveralRegions = false
	require.Equal(t, "near-1", n.downloadAddress("near-1"))
}

// TestFollowerThatBecomesOwnerReadsTheStore checks that the feed starts without a restart, and that
// a second call does not start another feed.
func TestFollowerThatBecomesOwnerReadsTheStore(t *testing.T) {
	n := newRegionalNode(t, 2)
	n.updateConfigurationFeed()
	require.False(t, n.readingConfiguration)
	require.True(t, n.watchingStore, "a follower notices when the store fails for it")
	n.owned[poolName] = &pool.Pool{}
	n.readingConfiguration = true
	n.updateConfigurationFeed()
	delete(n.owned, poolName)
	n.endConfigurationFeed()
	require.False(t, n.readingConfiguration, "a follower's feed ends")
}
