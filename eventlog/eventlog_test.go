package eventlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/fault"
)

// Guards against log lines without the code, the step and the peer by which operators
// search.
func TestEmit(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "info", "json", "entry-1")
	assert.NilError(t, err)
	log.EmitError(PlatformUnavailable, fault.New("table.get", "10.0.0.9:9000", "timeout"), Fields{"attempt": 2})
	var line map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	assert.Equal(t, line["event"], "MF1601")
	assert.Equal(t, line["daemon"], "entry-1")
	assert.Equal(t, line["level"], "warning")
	assert.Equal(t, line["step"], "table.get")
	assert.Equal(t, line["peer"], "10.0.0.9:9000")
	assert.Equal(t, line["attempt"], float64(2))

	out.Reset()
	errorLogger, err := New(&out, "error", "text", "entry-1")
	assert.NilError(t, err)
	errorLogger.Emit(DaemonStarted, nil)
	assert.Equal(t, out.String(), "")
	errorLogger.Emit(DutyFailed, nil)
	assert.Assert(t, strings.Contains(out.String(), "event=MF1004"))

	_, err = New(&out, "loud", "json", "entry-1")
	assert.ErrorContains(t, err, "loud")
}
