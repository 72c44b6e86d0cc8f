package ratelimit

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkAllow(b *testing.B) {
	for _, n := range []int{5, 800} {
		b.Run(fmt.Sprint("accounts=", n), func(b *testing.B) {
			accounts := map[string]*Account{}
			names := make([]string, n)
			for i := range n {
				names[i] = fmt.Sprint("account", i)
				accounts[names[i]] = NewAccount(start, 1000, 6)
			}
			now, i := start, 0
			for b.Loop() {
				now = now.Add(time.Millisecond)
				accounts[names[i%n]].Allow(now, 1)
				i++
			}
		})
	}
}

func BenchmarkDivide(b *testing.B) {
	for _, n := range []int{6, 2600} {
		b.Run(fmt.Sprint("daemons=", n), func(b *testing.B) {
			var names []string
			for i := range n {
				names = append(names, fmt.Sprint("d", i))
			}
			d := NewDivider(start, 1000, names)
			now := start.Add(PortionValidity)
			for b.Loop() {
				for _, name := range names {
					d.Report(now, name, 1)
				}
				d.Divide(now)
				now = now.Add(time.Second)
			}
		})
	}
}
