package load

import "time"

// Limits of all classes, equal to those of the default tiers of package cluster.
const (
	firstTokenLimit = 1800 * time.Millisecond
	totalLimit      = 20 * time.Second
)

// DonationClasses returns the traffic of the blanket donations: many one-line questions
// of the top tier, and appeal letters a hundred times as long.
func DonationClasses() []Class {
	return []Class{
		{Name: "donor question", Account: "clerks", Tier: "gold", Weight: 0.25, PromptMin: 20, PromptMax: 60, OutputMin: 10, OutputMax: 60, FirstTokenLimit: firstTokenLimit, TotalLimit: totalLimit},
		{Name: "depot question", Account: "donors", Tier: "silver", Weight: 0.45, PromptMin: 20, PromptMax: 100, OutputMin: 10, OutputMax: 80, SharedPrefixTokens: 512, Conversations: 12, FirstTokenLimit: firstTokenLimit, TotalLimit: totalLimit},
		{Name: "winter appeal", Account: "reports", Tier: "bronze", Weight: 0.30, PromptMin: 500, PromptMax: 4000, OutputMin: 100, OutputMax: 300, FirstTokenLimit: firstTokenLimit, TotalLimit: totalLimit},
	}
}

// RentalClasses returns the traffic of the hire firms: photo tags, quotes that share
// long price lists, and site plan summaries.
func RentalClasses() []Class {
	return []Class{
		{Name: "photo tag", Account: "clerks", Tier: "gold", Weight: 0.30, PromptMin: 20, PromptMax: 40, OutputMin: 4, OutputMax: 20, FirstTokenLimit: firstTokenLimit, TotalLimit: totalLimit},
		{Name: "quote", Account: "donors", Tier: "silver", Weight: 0.45, PromptMin: 50, PromptMax: 300, OutputMin: 40, OutputMax: 160, SharedPrefixTokens: 1536, Conversations: 16, FirstTokenLimit: firstTokenLimit, TotalLimit: totalLimit},
		{Name: "site plan", Account: "reports", Tier: "bronze", Weight: 0.25, PromptMin: 1000, PromptMax: 4000, OutputMin: 80, OutputMax: 240, FirstTokenLimit: firstTokenLimit, TotalLimit: totalLimit},
	}
}
