package coldstart

// Limits are the figures from which the grants to a cold target follow. The zero value is no
// limit.
type Limits struct {
	// Rate is the number of requests per second that a cold target tolerates; 0 is no limit.
	Rate float64
	// Overage and Slack give the number of requests that may be sent in any one second:
	// Rate * Overage + Slack.
	Overage, Slack float64
}

// Peak returns the number of requests that all daemons together may send in any one second. It
// is Rate if Overage and Slack would permit none.
func (l Limits) Peak() float64 {
	if peak := l.Rate*l.Overage + l.Slack; peak > 0 {
		return peak
	}
	return l.Rate
}

const (
	// overlapSeconds is the time for which the grants of two owners of a target may add up to
	// more than the rate of one. A replaced owner notices up to 400 ms after its successor
	// that it was replaced (250 to 650 ms of silence), and grants take up to 100 ms more or
	// less to become requests.
	overlapSeconds = 0.5
	// startShare is the share of a full bucket that a new owner starts with, since it does
	// not know what the previous one granted in the last second.
	startShare = 0.5
	// sparseRateShare is the share of Peak that is used as the rate where Peak leaves no room
	// for a burst at a change of owner. The first grant then comes at least 1.6 s after the
	// change, and so over a second after the last grant of the previous owner.
	sparseRateShare = 0.25
)

// bucket is a token bucket: rate in grants per second, size and start in grants.
type bucket struct {
	rate, size, start float64
}

// bucket returns the token bucket of one owner. In any second in which the owner changes,
// both owners together use at most a full bucket, the start of the second one, and the rate
// for 1 s + overlapSeconds; this sum is Peak. The rate is at most that of the limits.
func (l Limits) bucket() bucket {
	const span = 1 + overlapSeconds
	peak := l.Peak()
	rate := min(l.Rate, (peak-1-startShare)/span)
	if rate < sparseRateShare*peak {
		return bucket{rate: min(l.Rate, sparseRateShare*peak), size: 1}
	}
	size := (peak - rate*span) / (1 + startShare)
	return bucket{rate: rate, size: size, start: startShare * size}
}

// scaled returns the bucket of a daemon that grants only a share of the rate.
func (b bucket) scaled(share float64) bucket {
	if share >= 1 {
		return b
	}
	return bucket{rate: b.rate * share, size: max(1, b.size*share), start: b.start * share}
}
