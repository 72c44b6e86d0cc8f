package compare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// Lengths of requests: outputs and prompts differ a hundredfold.
const (
	minOutput, maxOutput = 10, 1000
	minPrompt, maxPrompt = 40, 4000
	// templatesPerAccount is the number of shared prompt beginnings of an account.
	templatesPerAccount = 4
	lengthClasses       = 5
)

// arrival is one recorded request.
type arrival struct {
	at      time.Duration
	request owner.Request
	// output is the true length, which schedulers do not see.
	output    int
	maxTokens int
}

// record makes the input of a run: Poisson arrivals at a rate per second. The
// accounts of each tier have length classes from short to long.
func record(s Setup, rate float64) []arrival {
	rng := rand.New(rand.NewPCG(s.Seed, 3))
	var all []arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at > s.Length {
			return all
		}
		all = append(all, s.arrival(rng, len(all), at))
	}
}

func (s Setup) arrival(rng *rand.Rand, number int, at time.Duration) arrival {
	tier := pickShare(rng, s.TierShares)
	class := rng.IntN(lengthClasses)
	output := length(rng, class, minOutput, maxOutput)
	prompt := length(rng, class, minPrompt, maxPrompt)
	account := fmt.Sprintf("t%d-a%d", tier, class)
	return arrival{
		at: at,
		request: owner.Request{
			ID: fmt.Sprint(number), Entry: fmt.Sprintf("e%d", number%7), Service: "assistant", Version: "v1",
			Account: account, Tier: tier, PromptTokens: prompt, Preemptible: true,
			Prefix: promptPrefix(rng, account, number, prompt),
		},
		output:    output,
		maxTokens: bound(rng, class, output),
	}
}

// bound returns the output bound that a caller states. Some accounts always state
// the largest one, others one between the true length and twice that.
func bound(rng *rand.Rand, class, output int) int {
	if class%2 == 1 {
		return maxOutput
	}
	return int(float64(output) * (1 + rng.Float64()))
}

// length draws a length around the middle of a class on a logarithmic scale.
func length(rng *rand.Rand, class int, least, most float64) int {
	step := (math.Log(most) - math.Log(least)) / lengthClasses
	middle := math.Log(least) + (float64(class)+0.5)*step
	value := math.Exp(middle + rng.NormFloat64()*step/2)
	return int(max(least, min(most, value)))
}

// promptPrefix returns the block hashes of a prompt of which up to three
// quarters are a template shared by requests of the account.
func promptPrefix(rng *rand.Rand, account string, number, prompt int) []uint64 {
	blocks := prompt / prefix.BlockTokens
	template := uint64(len(account)*31+int(account[1])*7+int(account[4]))*templatesPerAccount +
		uint64(rng.IntN(templatesPerAccount))
	hashes := make([]uint64, blocks)
	hash := prefix.ChainHash(0, template)
	for i := range hashes {
		if i >= blocks*3/4 {
			hash = prefix.ChainHash(hash, uint64(number)+1<<32)
		} else {
			hash = prefix.ChainHash(hash, template)
		}
		hashes[i] = hash
	}
	return hashes
}

func pickShare(rng *rand.Rand, shares []float64) int {
	x := rng.Float64()
	for i, share := range shares {
		if x < share {
			return i
		}
		x -= share
	}
	return len(shares) - 1
}
