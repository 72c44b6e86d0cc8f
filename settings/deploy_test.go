package settings

import (
	"os"
	"regexp"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a deployment template that renders settings which the daemon
// refuses. On a platform VM nobody would see the reason.
func TestDeployTemplateRendersValidSettings(t *testing.T) {
	data, err := os.ReadFile("../deploy/settings.yaml")
	assert.NilError(t, err)
	values := map[string]string{
		"nodeName": "front-a-1", "zone": "a", "region": "north", "ip": "10.1.0.25", "internalPorts.0": "7600",
		"listen.front": "10.1.0.25:8221", "listen.ready": "10.1.0.25:8224", "platform.address": "10.200.1.7:8225",
		"zones|json": `{"a":"north","b":"south"}`, "bounds.graceS": "8", "bounds.retryBudgetRatio": "0.2",
		"bounds.budgetWindowS": "10", "bounds.budgetSlack": "56", "bounds.quotaWindowS": "8", "bounds.quotaOverage": "0.1",
		"bounds.quotaSlack": "140000", "bounds.configApplyMs": "2500", "limits.memoryMb": "284",
	}
	rendered := regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(string(data), func(field string) string {
		value, known := values[field[2:len(field)-2]]
		assert.Check(t, known, "%s", field)
		return value
	})
	s, err := Parse("settings.yaml", []byte(rendered))
	assert.NilError(t, err)
	assert.Assert(t, s.Gateway.Enabled())
	assert.Equal(t, s.Gateway.Grace, 8*time.Second)
	assert.Equal(t, s.Gateway.ApplyWithin, 2500*time.Millisecond)
	assert.Equal(t, s.Gateway.DataCentres["b"], "south")

	_, err = Parse("settings.yaml", []byte(regexp.MustCompile(`(?m)^  grace:.*$`).ReplaceAllString(rendered, "  grace: 8")))
	assert.ErrorContains(t, err, "grace")
	_, err = Parse("settings.yaml", []byte(regexp.MustCompile(`(?m)^region:.*$`).ReplaceAllString(rendered, "region: south")))
	assert.ErrorContains(t, err, "dataCentres")
}
