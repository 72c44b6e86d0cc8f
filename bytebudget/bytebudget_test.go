package bytebudget

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Answers the pattern of many targets that send without end at once: each is cut at an
// equal part, and an ordinary answer is still read whole beside them.
func TestEndlessMessagesLeaveRoomForOthers(t *testing.T) {
	const total, hogs, step = 1 << 20, 20, 1 << 10
	b := New(total)
	held := make([]*Allocation, hogs)
	for i := range held {
		held[i] = b.NewAllocation()
	}
	for cut := 0; cut < hogs; {
		cut = 0
		for _, h := range held {
			if h.Grow(step) != nil {
				cut++
			}
		}
	}
	for _, h := range held {
		assert.Assert(t, h.bytes > total/(hogs+1)-2*step && h.bytes < total/(hogs+1)+2*step, "%d bytes", h.bytes)
	}
	h := b.NewAllocation()
	text := strings.Repeat("y", 10<<10)
	data, err := h.ReadAll(strings.NewReader(text), int64(len(text)))
	assert.NilError(t, err)
	assert.Equal(t, string(data), text)
	h.Release()
	h.Release()
	_, err = b.NewAllocation().ReadAll(endless{}, -1)
	assert.ErrorIs(t, err, ErrExceeded)
	assert.Assert(t, b.Used() <= total)
}

// Guards against bytes that are lost or charged wrongly, for any length and stated
// length, and against a budget that does not come back to zero.
func TestReadAllIsWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1 << 20)
		data := rapid.SliceOfN(rapid.Byte(), 0, 20_000).Draw(t, "data")
		expected := rapid.Int64Range(-1, 40_000).Draw(t, "expected")
		var r io.Reader = bytes.NewReader(data)
		if rapid.Bool().Draw(t, "bytewise") {
			r = iotest.OneByteReader(r)
		}
		h := b.NewAllocation()
		got, err := h.ReadAll(r, expected)
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
		if b.Used() != int64(cap(got)) {
			t.Fatalf("%d bytes charged for a buffer of %d", b.Used(), cap(got))
		}
		h.Release()
		if b.Used() != 0 {
			t.Fatalf("%d bytes stay", b.Used())
		}
	})
}

// Guards against an error of the reader that is lost.
func TestReadErrorIsReturned(t *testing.T) {
	broken := errors.New("broken")
	data, err := New(1<<20).NewAllocation().ReadAll(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), -1)
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, string(data), "ab")
	var none *Budget
	h := none.NewAllocation()
	defer h.Release()
	_, err = h.ReadAll(strings.NewReader("ab"), 2)
	assert.NilError(t, err)
}
