package object

import "slices"

// precedence orders pairs of an account's tier and an ingress's tier.
type precedence struct {
	accountRanks, ingressRanks []int
}

// newPrecedence collects the ranks in use. Accounts without a tier take that of the
// ingress.
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

// Precedence returns the rank of a request, 0 first and at most MaxTiers-1: by the
// tier of its account, or of its ingress where the account names none, and within
// that by the tier of the ingress.
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
