package peer

import (
	"errors"
	"runtime"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// reserveMessage returns a Reserve message of the usual size between an entry and an
// owner.
func reserveMessage() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Reserve{Reserve: &peerpb.Reserve{
		Id: "01JDXK3V9T5Q", Service: "assistant", Group: 3, Version: "v7", Tier: 1, Account: "depot",
		PromptTokens: 812, OutputTokens: 200, RemainingMs: 15_000, Preemptible: true, Fingerprint: 1 << 62,
		Prefix: []uint64{1 << 61, 1 << 60, 1 << 59},
	}}}
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// benchmarkMessages sends b.N messages from a to c and calls afterSend after each.
// It reports bytes, CPU time and flushes per message.
func benchmarkMessages(b *testing.B, a, c *node, afterSend func()) {
	message := reserveMessage()
	connect(b, a, c)
	statsBefore, cpuBefore := a.Stats(), cpuTime(b)
	b.ResetTimer()
	for range b.N {
		for {
			err := a.Send(c.name, message)
			if err == nil {
				break
			}
			if !errors.Is(err, ErrQueueFull) {
				b.Fatal(err)
			}
			runtime.Gosched()
		}
		afterSend()
	}
	wantMessages := uint64(b.N)
	waitFor(b, time.Minute, "all messages arrive", func() bool { return c.Stats().In["reserve"].Messages >= wantMessages })
	b.StopTimer()
	statsAfter := a.Stats()
	b.ReportMetric(float64(statsAfter.Out["reserve"].Bytes)/float64(b.N), "envelope-B/msg")
	b.ReportMetric(float64(statsAfter.WireOut-statsBefore.WireOut)/float64(b.N), "wire-B/msg")
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/msg")
	b.ReportMetric(float64(statsAfter.Flushes-statsBefore.Flushes)/float64(b.N), "flushes/msg")
}

// BenchmarkMessages measures bytes on the wire and CPU time per message, of both
// ends together: with messages sent back to back, and with one message at a time.
func BenchmarkMessages(b *testing.B) {
	newPairs := map[string]func() (a, c *node){
		"tcp": func() (a, c *node) { return newNode(b, "a"), newNode(b, "c") },
		"tls": func() (a, c *node) {
			ca := newAuthority(b)
			return newBenchTLSNode(b, ca, "a"), newBenchTLSNode(b, ca, "c")
		},
	}
	for name, newPair := range newPairs {
		b.Run(name+"/batched", func(b *testing.B) {
			a, c := newPair()
			benchmarkMessages(b, a, c, func() {})
		})
		b.Run(name+"/single", func(b *testing.B) {
			a, c := newPair()
			arrived := make(chan struct{}, 1)
			c.arrived.Store(&arrived)
			benchmarkMessages(b, a, c, func() { <-arrived })
		})
	}
}

func newBenchTLSNode(b *testing.B, ca *authority, name string) *node {
	files := tlsFilePaths(b)
	ca.writeFiles(b, files, name, ca)
	return newNode(b, name, withTLS(files))
}

// BenchmarkSessionMemory measures the heap and stack bytes of one end of a session,
// after one message in each direction.
func BenchmarkSessionMemory(b *testing.B) {
	for _, useTLS := range []bool{false, true} {
		name := map[bool]string{false: "tcp", true: "tls"}[useTLS]
		b.Run(name, func(b *testing.B) {
			const sessions = 100
			var ca *authority
			if useTLS {
				ca = newAuthority(b)
			}
			newBenchNode := func(n string) *node {
				if useTLS {
					return newBenchTLSNode(b, ca, n)
				}
				return newNode(b, n)
			}
			hub := newBenchNode("hub")
			peers := make([]*node, sessions)
			for i := range peers {
				peers[i] = newBenchNode("peer" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
			}
			before := heapAndStackBytes()
			for _, p := range peers {
				connect(b, p, hub)
				assert.NilError(b, p.Send("hub", reserveMessage()))
				assert.NilError(b, hub.Send(p.name, reserveMessage()))
			}
			waitFor(b, 10*time.Second, "all messages arrive", func() bool { return hub.Stats().In["reserve"].Messages == sessions })
			// Both ends of each session are in this process.
			b.ReportMetric(float64(heapAndStackBytes()-before)/sessions/2, "B/session")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// heapAndStackBytes returns the bytes of the heap after a collection and of all stacks.
func heapAndStackBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkIdleSessions measures bytes on the wire and CPU time of idle sessions, per
// second and per end of a session.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions, duration = 100, 5 * time.Second
	ca := newAuthority(b)
	hub := newBenchTLSNode(b, ca, "hub")
	for i := range sessions {
		connect(b, newBenchTLSNode(b, ca, "peer"+string(rune('a'+i/26))+string(rune('a'+i%26))), hub)
	}
	before, cpuBefore, start := hub.Stats(), cpuTime(b), time.Now()
	idleTimer := time.NewTimer(duration)
	<-idleTimer.C
	ends := 2 * sessions * time.Since(start).Seconds()
	b.ReportMetric(float64(hub.Stats().WireOut-before.WireOut)/ends*2, "wire-out-B/s/end")
	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/ends, "cpu-us/s/end")
	b.ReportMetric(0, "ns/op")
}
