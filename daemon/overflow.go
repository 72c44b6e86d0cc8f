package daemon

import (
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/overflow"
)

// overflowConfig returns the configuration of the decision about other data centres, or nil
// if the settings do not enable it.
func (g *Gateway) overflowConfig() *grants.Overflow {
	s := g.settings.Gateway.Overflow
	if !s.Enabled {
		return nil
	}
	return &grants.Overflow{
		Options: overflow.Options{
			NearbyCost: milliseconds(s.NearbyMsPerMB),
			FarCost:    milliseconds(s.FarMsPerMB),
		},
		Entries:    g.topologies.countLive,
		RefundLink: g.linkBudget.refund,
		OnLink:     g.logLink,
	}
}

// logLink records that another data centre does not answer, or answers again.
func (g *Gateway) logLink(dataCentre string, answers bool) {
	if answers {
		g.logger.Emit(eventlog.DataCentreAnswers, eventlog.Fields{"dataCentre": dataCentre})
		return
	}
	g.logger.Emit(eventlog.DataCentreLeftOut, eventlog.Fields{"dataCentre": dataCentre})
}

// reportedDataCentre returns the data centre that owners name in their loads, or "" if the
// settings do not enable overflow.
func (g *Gateway) reportedDataCentre() string {
	if !g.settings.Gateway.Overflow.Enabled {
		return ""
	}
	return g.settings.DataCentre
}

func milliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
