package fault

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestEveryKindHasCompleteResponse(t *testing.T) {
	for _, kind := range Kinds() {
		answer := ResponseFor(kind)
		require.Contains(t, []Outcome{NotRun, MayHaveRun, Ran}, answer.Outcome, kind)
		require.GreaterOrEqual(t, answer.Status, 400, kind)
		require.Less(t, answer.Status, 600, kind)
		overloaded := answer.Status == 429 || answer.Status == 503
		require.Equal(t, overloaded, overloaded && answer.RetryAfter > 0, "%s must have a retry delay", kind)
	}
}

func TestFromKeepsListedErrors(t *testing.T) {
	listed := NewField(Unsatisfiable, "members", "too many")
	require.Same(t, listed, From(errors.Wrap(listed, "context")))
	require.True(t, IsKind(errors.Wrap(listed, "context"), Unsatisfiable))
	require.Equal(t, Internal, From(errors.New("other")).Kind)
	require.Equal(t, ResponseFor(Internal), ResponseFor("no_such_kind"))
}
