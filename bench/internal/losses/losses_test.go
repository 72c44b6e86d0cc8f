package losses

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const logText = `built in 0.1 s
  0.0000 a {"event":"MF1001","daemon":"a","msg":"daemon started"}
  0.3000 a {"event":"MF1303","daemon":"a","service":"s","tier":"t0","outcome":"ok","totalMs":250,"firstMs":240,"waitMs":200,"objectiveMs":200,"targets":["x"]}
  2.1000 a {"event":"MF1303","daemon":"a","service":"s","tier":"t0","outcome":"ok","totalMs":100,"firstMs":20,"waitMs":1,"objectiveMs":200,"targets":["x"]}
  4.0000 a {"event":"MF1303","daemon":"a","service":"s","tier":"t0","outcome":"ok","totalMs":500,"firstMs":400,"waitMs":5,"objectiveMs":200,"targets":["x"]}
  4.2000 a {"event":"MF1303","daemon":"a","service":"s","tier":"t0","outcome":"too_late","totalMs":300,"objectiveMs":200,"targets":null}
  6.0000 b {"event":"MF1204","daemon":"b","name":"a"}
  6.1000 b {"event":"MF1303","daemon":"b","service":"s","tier":"t1","outcome":"overloaded","totalMs":400,"objectiveMs":200,"targets":null}
  6.2000 b {"event":"MF1303","daemon":"b","service":"s","tier":"t1","outcome":"overloaded","totalMs":5,"objectiveMs":200,"callerRetry":true}
  7.9000 b {"event":"MF1303","daemon":"b","service":"s","tier":"t1","outcome":"deadline","totalMs":900,"waitMs":1,"objectiveMs":200,"targets":["x"],"failures":["reset"]}
`

func readRows(t *testing.T) []Row {
	log, err := Read(strings.NewReader(logText))
	assert.NilError(t, err)
	assert.Equal(t, len(log.Requests), 7)
	return Analyze(log).Rows(2 * time.Second)
}

// Guards against a table that puts a loss down to the wrong cause or the wrong seconds.
func TestCausesOfLosses(t *testing.T) {
	rows := readRows(t)
	assert.DeepEqual(t, rows, []Row{
		{From: 0, Service: "s", Tier: "t0", Requests: 1, Lost: map[Cause]int{CauseStart: 1}},
		{From: 2 * time.Second, Service: "s", Tier: "t0", Requests: 3, InTime: 1, Lost: map[Cause]int{CauseEngine: 1, CauseOwner: 1}},
		{From: 4 * time.Second, Service: "s", Tier: "t1", Requests: 1, Lost: map[Cause]int{CauseOwner: 1}},
		{From: 6 * time.Second, Service: "s", Tier: "t1", Requests: 2, Lost: map[Cause]int{CauseRetry: 1, CauseTarget: 1}},
	})
	var out strings.Builder
	assert.NilError(t, Print(&out, rows, 1))
	assert.Equal(t, strings.Count(out.String(), "\n"), 2)
	assert.Assert(t, strings.Contains(out.String(), "2 s"), out.String())
}

// Guards against a plot that cannot be written.
func TestPlotOfSlots(t *testing.T) {
	log, err := Read(strings.NewReader(logText))
	assert.NilError(t, err)
	file := filepath.Join(t.TempDir(), "slots.png")
	assert.NilError(t, NewUsage(log).Plot(file, "slots"))
	info, err := os.Stat(file)
	assert.NilError(t, err)
	assert.Assert(t, info.Size() > 0)
}
