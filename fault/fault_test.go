package fault

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against errors that lose their step, their peer or their cause when
// they are wrapped.
func TestStepAndPeer(t *testing.T) {
	cause := errors.New("cause")
	err := fmt.Errorf("outside: %w", Wrap(cause, "table.commit", "127.0.0.1:1"))
	assert.ErrorIs(t, err, cause)
	assert.Equal(t, Step(err)+" "+Peer(err), "table.commit 127.0.0.1:1")
	assert.Equal(t, Step(Wrap(New("inner", "a", "m"), "outer", "b")), "inner")
	assert.Equal(t, Step(cause)+Peer(cause), "")
	assert.NilError(t, Wrap(nil, "s", "p"))
}
