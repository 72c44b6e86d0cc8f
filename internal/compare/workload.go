package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// Lengths of requests in tokens. Outputs and prompts differ a hundredfold.
const (
	minOutputTokens, maxOutputTokens = 10, 1000
	minPromptTokens, maxPromptTokens = 40, 4000
	// templatesPerAccount is the number of prompt prefixes that the requests of an
	// account share.
	templatesPerAccount = 4
	lengthClasses       = 5
)

// arrival is one recorded request.
type arrival struct {
	// offset is the time from the start of the run.
	offset  time.Duration
	request owner.Request
	// outputTokens is the true output length, which schedulers do not see.
	outputTokens int
	maxTokens    int
}

// recordArrivals generates the input of a run: Poisson arrivals at a rate in requests
// per second. The accounts of each tier have length classes from short to long.
func recordArrivals(s Setup, rate float64) []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	var all []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > s.Duration {
			return all
		}
		all = append(all, s.newArrival(rng, len(all), at))
	}
}

// newArrival draws one request.
func (s Setup) newArrival(rng *rand.Rand, sequence int, at time.Duration) arrival {
	tier := pickByShare(rng, s.TierShares)
	lengthClass := rng.IntN(lengthClasses)
	outputTokens := drawLength(rng, lengthClass, minOutputTokens, maxOutputTokens)
	promptTokens := drawLength(rng, lengthClass, minPromptTokens, maxPromptTokens)
	account := fmt.Sprintf("t%d-a%d", tier, lengthClass)
	return arrival{
		offset: at,
		request: owner.Request{
			ID: fmt.Sprint(sequence), Entry: fmt.Sprintf("e%d", sequence%7), Service: "assistant", Version: "v1",
			Account: account, Tier: tier, PromptTokens: promptTokens, Preemptible: true,
			Prefix: promptPrefix(rng, account, sequence, promptTokens),
		},
		outputTokens: outputTokens,
		maxTokens:    statedMaxTokens(rng, lengthClass, outputTokens),
	}
}

// statedMaxTokens returns the maximum output length that a caller states. Accounts of
// some length classes always state maxOutputTokens, others a value between the true
// length and twice that.
func statedMaxTokens(rng *rand.Rand, lengthClass, outputTokens int) int {
	if lengthClass%2 == 1 {
		return maxOutputTokens
	}
	return int(float64(outputTokens) * (1 + rng.Float64()))
}

// drawLength draws a length, normally distributed around the middle of a length class
// on a logarithmic scale and limited to least and most.
func drawLength(rng *rand.Rand, lengthClass int, least, most float64) int {
	logStep := (math.Log(most) - math.Log(least)) / lengthClasses
	logMiddle := math.Log(least) + (float64(lengthClass)+0.5)*logStep
	value := math.Exp(logMiddle + rng.NormFloat64()*logStep/2)
	return int(max(least, min(most, value)))
}

// promptPrefix returns the block hashes of a prompt. Up to three quarters of its
// blocks belong to a template that requests of the account share.
func promptPrefix(rng *rand.Rand, account string, sequence, promptTokens int) []uint64 {
	blocks := promptTokens / prefix.BlockTokens
	template := uint64(len(account)*31+int(account[1])*7+int(account[4]))*templatesPerAccount +
		uint64(rng.IntN(templatesPerAccount))
	hashes := make([]uint64, blocks)
	hash := prefix.ChainHash(0, template)
	for i := range hashes {
		if i >= blocks*3/4 {
			hash = prefix.ChainHash(hash, uint64(sequence)+1<<32)
		} else {
			hash = prefix.ChainHash(hash, template)
		}
		hashes[i] = hash
	}
	return hashes
}

// pickByShare returns a random index with the probabilities given by shares.
func pickByShare(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x < share {
			return i
		}
		x -= share
	}
	return len(shares) - 1
}
