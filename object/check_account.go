package object

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"
)

func (c *checker) checkTier(i int, o *Tier) {
	if o.Rank < 0 || o.Rank >= MaxTiers {
		c.report(KindTier, i, "rank", "rank %d must be from 0 (highest) to %d", o.Rank, MaxTiers-1)
	}
	if o.Deadline <= 0 {
		c.report(KindTier, i, "deadline", "deadline %v must be above zero", o.Deadline)
	}
	if o.FirstToken < 0 {
		c.report(KindTier, i, "firstToken", "firstToken %v is below zero", o.FirstToken)
	}
	if o.Deadline > 0 && o.FirstToken > o.Deadline {
		c.report(KindTier, i, "firstToken", "firstToken %v is after the deadline %v", o.FirstToken, o.Deadline)
	}
}

func (c *checker) checkRanks() {
	first := map[int]int{}
	for i, o := range c.set.Tiers {
		if earlier, taken := first[o.Rank]; taken {
			c.report(KindTier, i, "rank", "rank %d is already taken by %s", o.Rank, c.describe(KindTier, earlier))
			continue
		}
		first[o.Rank] = i
	}
}

func (c *checker) checkAccount(i int, o *ClientAccount) {
	if c.tiers[o.Tier] == nil && (o.Tier != "" || !c.set.External) {
		c.report(KindClientAccount, i, "tier", "tier %q does not exist", o.Tier)
	}
	c.checkReferences(KindClientAccount, i, "services", o.Services, c.hasService, KindService)
	c.checkLimit(i, "requestsPerSecond", o.RequestsPerSecond)
	c.checkLimit(i, "tokensPerSecond", o.TokensPerSecond)
	for j, digest := range o.TokenDigests {
		c.checkDigest(i, fmt.Sprintf("tokenDigests[%d]", j), digest)
	}
}

func (c *checker) checkLimit(i int, field string, limit float64) {
	if limit < 0 {
		c.report(KindClientAccount, i, field, "limit %v is below zero", limit)
	}
	if math.IsNaN(limit) || math.IsInf(limit, 0) {
		c.report(KindClientAccount, i, field, "limit must be a finite number")
	}
}

// checkDigest checks the form of a token digest and that it is listed only once.
// The messages do not repeat the value, since operators may paste tokens there by
// mistake.
func (c *checker) checkDigest(i int, field, digest string) {
	_, err := hex.DecodeString(digest)
	if err != nil || len(digest) != tokenDigestLength || digest != strings.ToLower(digest) {
		c.report(KindClientAccount, i, field, "must be a SHA-256 digest in %d lower-case hex digits", tokenDigestLength)
		return
	}
	if earlier, taken := c.accountByDigest[digest]; taken {
		c.report(KindClientAccount, i, field, "the same token is listed by %s", c.describe(KindClientAccount, earlier))
		return
	}
	c.accountByDigest[digest] = i
}
