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

// endlessReader returns bytes without end.
type endlessReader struct{}

func (endlessReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against many endless messages that together exhaust the budget: each must be
// stopped at an equal part, and an ordinary message must still be read completely.
func TestEndlessMessagesLeaveRoomForOthers(t *testing.T) {
	const total, endlessMessages, step = 1 << 20, 20, 1 << 10
	b := New(total)
	allocations := make([]*Allocation, endlessMessages)
	for i := range allocations {
		allocations[i] = b.NewAllocation()
	}
	for refused := 0; refused < endlessMessages; {
		refused = 0
		for _, a := range allocations {
			if a.Grow(step) != nil {
				refused++
			}
		}
	}
	for _, a := range allocations {
		assert.Assert(t, a.held > total/(endlessMessages+1)-2*step && a.held < total/(endlessMessages+1)+2*step, "%d bytes", a.held)
	}
	a := b.NewAllocation()
	text := strings.Repeat("y", 10<<10)
	data, err := a.ReadAll(strings.NewReader(text), int64(len(text)))
	assert.NilError(t, err)
	assert.Equal(t, string(data), text)
	a.Release()
	a.Release()
	_, err = b.NewAllocation().ReadAll(endlessReader{}, -1)
	assert.ErrorIs(t, err, ErrExceeded)
	assert.Assert(t, b.Used() <= total)
}

// Guards against lost bytes and wrong accounting for any actual and stated length, and
// against a budget that does not return to zero.
func TestReadAllReturnsAndChargesAllBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(1 << 20)
		data := rapid.SliceOfN(rapid.Byte(), 0, 20_000).Draw(t, "data")
		expected := rapid.Int64Range(-1, 40_000).Draw(t, "expected")
		var r io.Reader = bytes.NewReader(data)
		if rapid.Bool().Draw(t, "bytewise") {
			r = iotest.OneByteReader(r)
		}
		a := b.NewAllocation()
		got, err := a.ReadAll(r, expected)
		if err != nil || !bytes.Equal(got, data) {
			t.Fatalf("%d bytes, %v", len(got), err)
		}
		if b.Used() != int64(cap(got)) {
			t.Fatalf("%d bytes charged for a buffer of %d", b.Used(), cap(got))
		}
		a.Release()
		if b.Used() != 0 {
			t.Fatalf("%d bytes still in use after Release", b.Used())
		}
	})
}

// Guards against losing an error of the reader or the bytes read before it, and against a
// nil budget that refuses memory.
func TestReadErrorIsReturned(t *testing.T) {
	broken := errors.New("broken")
	data, err := New(1<<20).NewAllocation().ReadAll(io.MultiReader(strings.NewReader("ab"), iotest.ErrReader(broken)), -1)
	assert.ErrorIs(t, err, broken)
	assert.Equal(t, string(data), "ab")
	var noBudget *Budget
	a := noBudget.NewAllocation()
	defer a.Release()
	_, err = a.ReadAll(strings.NewReader("ab"), 2)
	assert.NilError(t, err)
}
