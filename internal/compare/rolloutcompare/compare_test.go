package rolloutcompare

import (
	"os"
	"strconv"
	"testing"
)

func TestTrial(t *testing.T) {
	n, _ := strconv.Atoi(os.Getenv("MOVES"))
	systems := Run(Options{Moves: n, Workers: 4})
	_ = Print(os.Stdout, systems)
	for _, s := range systems[:1] {
		for _, r := range s.Results {
			t.Log(r)
		}
	}
}
