package object

import "net/netip"

func (c *checker) checkTarget(i int, o *Target) {
	service := c.services[o.Service]
	if service == nil {
		c.report(KindTarget, i, "service", "service %q does not exist", o.Service)
	} else if service.Kind == PlainService && o.KVTokens > 0 {
		c.report(KindTarget, i, "kvTokens", "a target of a plain service has no KV cache, found %d", o.KVTokens)
	}
	for _, location := range []struct{ field, value string }{{"dataCentre", o.DataCentre}, {"region", o.Region}} {
		if message := c.nameProblem(location.value); message != "" {
			c.report(KindTarget, i, location.field, "%s", message)
		}
	}
	c.checkText(KindTarget, i, "hardware", o.Hardware)
	if o.Slots < 1 {
		c.report(KindTarget, i, "slots", "slots %d must be at least 1", o.Slots)
	}
	if o.KVTokens < 0 {
		c.report(KindTarget, i, "kvTokens", "kvTokens %d is below zero", o.KVTokens)
	}
	c.checkTargetVersions(i, o)
}

func (c *checker) checkTargetVersions(i int, o *Target) {
	if len(o.Versions) == 0 {
		c.report(KindTarget, i, "versions", "a target needs at least one version")
	}
	c.checkReferences(KindTarget, i, "versions", o.Versions, c.hasVersion, KindVersion)
	for _, name := range o.Versions {
		if v := c.versions[name]; v != nil && v.Service != o.Service {
			c.report(KindTarget, i, "versions", "version %q belongs to service %q, not %q", name, v.Service, o.Service)
		}
	}
}

// checkAddressesAndRegions checks that each address belongs to one target and each
// data centre to one region.
func (c *checker) checkAddressesAndRegions() {
	addresses := map[netip.AddrPort]int{}
	regions := map[string]int{}
	for i := range c.set.Targets {
		o := &c.set.Targets[i]
		if address, message := parseAddress(o.Address); message != "" {
			c.report(KindTarget, i, "address", "%s", message)
		} else if earlier, taken := addresses[address]; taken {
			c.report(KindTarget, i, "address", "address %s is already taken by %s", o.Address, c.describe(KindTarget, earlier))
		} else {
			addresses[address] = i
		}
		earlier, known := regions[o.DataCentre]
		if !known {
			regions[o.DataCentre] = i
		} else if other := c.set.Targets[earlier].Region; other != o.Region {
			c.report(KindTarget, i, "region", "data centre %q is in region %q here and in region %q at %s",
				o.DataCentre, o.Region, other, c.describe(KindTarget, earlier))
		}
	}
}

// parseAddress parses IP:port. It returns a message that says what is wrong with
// the text, or "". IPv4-mapped IPv6 addresses are returned as IPv4 addresses, so that
// both forms compare equal.
func parseAddress(text string) (netip.AddrPort, string) {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return address, "address \"" + text + "\" must be an IP number and a port, such as 10.0.0.7:8000"
	case address.Port() == 0:
		return address, "address \"" + text + "\" needs a port above 0"
	case address.Addr().IsUnspecified() || address.Addr().IsMulticast():
		return address, "address \"" + text + "\" is not the address of one server"
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port()), ""
}
