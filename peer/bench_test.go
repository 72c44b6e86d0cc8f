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

// reserve returns a message of the size that is usual between an entry and an
// owner.
func reserve() *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Reserve{Reserve: &peerpb.Reserve{
		Id: "01JDXK3V9T5Q", Service: "assistant", Group: 3, Version: "v7", Tier: 1, Account: "depot",
		PromptTokens: 812, OutputTokens: 200, RemainingMs: 15_000, Preemptible: true, Fingerprint: 1 << 62,
		Prefix: []uint64{1 << 61, 1 << 60, 1 << 59},
	}}}
}

func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func benchmarkMessages(b *testing.B, a, c *node, wait func()) {
	message := reserve()
	connect(b, a, c)
	wireBefore, cpuBefore := a.Stats(), cpuTime(b)
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
		wait()
	}
	target := uint64(b.N)
	waitFor(b, time.Minute, "all messages arrive", func() bool { return c.Stats().In["reserve"].Messages >= target })
	b.StopTimer()
	out := a.Stats()
	b.ReportMetric(float64(out.Out["reserve"].Bytes)/float64(b.N), "envelope-B/msg")
	b.ReportMetric(float64(out.WireOut-wireBefore.WireOut)/float64(b.N), "wire-B/msg")
	b.ReportMetric(float64(cpuTime(b)-cpuBefore)/float64(b.N), "cpu-ns/msg")
	b.ReportMetric(float64(out.Flushes-wireBefore.Flushes)/float64(b.N), "flushes/msg")
}

// BenchmarkMessages measures both ends together: bytes on the wire and CPU time
// per message when messages follow each other closely, and when each is alone.
func BenchmarkMessages(b *testing.B) {
	pairs := map[string]func() (a, c *node){
		"tcp": func() (a, c *node) { return newNode(b, "a"), newNode(b, "c") },
		"tls": func() (a, c *node) {
			ca := newAuthority(b)
			return benchTLSNode(b, ca, "a"), benchTLSNode(b, ca, "c")
		},
	}
	for name, pair := range pairs {
		b.Run(name+"/batched", func(b *testing.B) {
			a, c := pair()
			benchmarkMessages(b, a, c, func() {})
		})
		b.Run(name+"/single", func(b *testing.B) {
			a, c := pair()
			arrived := make(chan struct{}, 1)
			c.arrived.Store(&arrived)
			benchmarkMessages(b, a, c, func() { <-arrived })
		})
	}
}

func benchTLSNode(b *testing.B, ca *authority, name string) *node {
	files := filesIn(b)
	ca.write(b, files, name, ca)
	return newNode(b, name, withTLS(files))
}

// BenchmarkSessionMemory measures the heap and stacks of one end of a session,
// after one message in each direction.
func BenchmarkSessionMemory(b *testing.B) {
	for _, secure := range []bool{false, true} {
		name := map[bool]string{false: "tcp", true: "tls"}[secure]
		b.Run(name, func(b *testing.B) {
			const sessions = 100
			var ca *authority
			if secure {
				ca = newAuthority(b)
			}
			build := func(n string) *node {
				if secure {
					return benchTLSNode(b, ca, n)
				}
				return newNode(b, n)
			}
			hub := build("hub")
			peers := make([]*node, sessions)
			for i := range peers {
				peers[i] = build("peer" + string(rune('a'+i/26)) + string(rune('a'+i%26)))
			}
			before := memory()
			for _, p := range peers {
				connect(b, p, hub)
				assert.NilError(b, p.Send("hub", reserve()))
				assert.NilError(b, hub.Send(p.name, reserve()))
			}
			waitFor(b, 10*time.Second, "all messages arrive", func() bool { return hub.Stats().In["reserve"].Messages == sessions })
			// Both ends of each session are in this process.
			b.ReportMetric(float64(memory()-before)/sessions/2, "B/session")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkIdleSessions measures what idle sessions cost their hub and its peers:
// bytes on the wire and CPU time per second and end of a session.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions, duration = 100, 5 * time.Second
	ca := newAuthority(b)
	hub := benchTLSNode(b, ca, "hub")
	for i := range sessions {
		connect(b, benchTLSNode(b, ca, "peer"+string(rune('a'+i/26))+string(rune('a'+i%26))), hub)
	}
	before, cpu, start := hub.Stats(), cpuTime(b), time.Now()
	waitIdle := time.NewTimer(duration)
	<-waitIdle.C
	ends := 2 * sessions * time.Since(start).Seconds()
	b.ReportMetric(float64(hub.Stats().WireOut-before.WireOut)/ends*2, "wire-out-B/s/end")
	b.ReportMetric(float64((cpuTime(b)-cpu).Microseconds())/ends, "cpu-us/s/end")
	b.ReportMetric(0, "ns/op")
}
