package object

import "slices"

// precedence holds the ranks that occur among the tiers of accounts and of
// ingresses, each sorted and without duplicates. The position of a pair of tiers
// in them gives the precedence of a request.
type precedence struct {
	accountRanks, ingressRanks []int
}

// newPrecedence collects the ranks in use. The ranks of ingresses count as ranks
// of accounts too, since an account without a tier gets that of the ingress.
func newPrecedence(x *Index) precedence {
	var p precedence
	for i := range x.Set.ClientAccounts {
		if tier := x.tiers[x.Set.ClientAccounts[i].Tier]; tier != nil {
			p.accountRanks = append(p.accountRanks, tier.Rank)
		}
	}
	for i := range x.Set.Ingresses {
		if tier := x.tiers[x.Set.Ingresses[i].Tier]; tier != nil {
			p.ingressRanks = append(p.ingressRanks, tier.Rank)
			p.accountRanks = append(p.accountRanks, tier.Rank)
		}
	}
	slices.Sort(p.accountRanks)
	slices.Sort(p.ingressRanks)
	p.accountRanks = slices.Compact(p.accountRanks)
	p.ingressRanks = slices.Compact(p.ingressRanks)
	return p
}

// Precedence returns the priority of a request, from 0 (highest) to MaxTiers-1.
// Requests are ordered by the tier of the account, or by that of the ingress if
// there is no account or it names no tier, and then by the tier of the ingress.
// Requests of unknown tiers, and those of pairs of tiers beyond the first MaxTiers
// pairs, get MaxTiers-1.
func (x *Index) Precedence(account *ClientAccount, in *Ingress) int {
	ingressTier := x.tiers[in.Tier]
	accountTier := ingressTier
	if account != nil && account.Tier != "" {
		accountTier = x.tiers[account.Tier]
	}
	if ingressTier == nil || accountTier == nil {
		return MaxTiers - 1
	}
	i, _ := slices.BinarySearch(x.precedence.accountRanks, accountTier.Rank)
	j, _ := slices.BinarySearch(x.precedence.ingressRanks, ingressTier.Rank)
	return min(i*len(x.precedence.ingressRanks)+j, MaxTiers-1)
}
