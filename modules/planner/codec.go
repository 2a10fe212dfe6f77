package planner

import (
	"encoding/json"
	"time"

	"github.com/samber/oops"
)

type wireSearch struct {
	Services    []string `json:"services"`
	MinCoverage float64  `json:"min-coverage"`
	Fast        bool     `json:"fast"`
}

type wireConfig struct {
	Revision  uint64                `json:"revision"`
	Searches  map[string]wireSearch `json:"searches"`
	Out       []string              `json:"out"`
	Plans     []string              `json:"plans"`
	ChangedBy string                `json:"changed-by"`
	ChangedAt time.Time             `json:"changed-at"`
}

type wireIntent struct {
	SetSearches map[string]wireSearch `json:"set-searches,omitempty"`
	TakeOut     []string              `json:"take-out,omitempty"`
	BringIn     []string              `json:"bring-in,omitempty"`
}

type wireCapacity struct {
	Service   string `json:"service"`
	SlotsNow  int    `json:"slots-now"`
	SlotsThen int    `json:"slots-then"`
}

type wirePlan struct {
	ID         string         `json:"id"`
	Base       uint64         `json:"base-revision"`
	Result     wireConfig     `json:"result"`
	Changes    []string       `json:"changes"`
	Capacities []wireCapacity `json:"capacities"`
	Warnings   []string       `json:"warnings"`
}

func toWireSearches(in map[string]Search) map[string]wireSearch {
	out := make(map[string]wireSearch, len(in))
	for name, s := range in {
		out[name] = wireSearch(s)
	}
	return out
}

func fromWireSearches(in map[string]wireSearch) map[string]Search {
	out := make(map[string]Search, len(in))
	for name, s := range in {
		out[name] = Search(s)
	}
	return out
}

func toWireConfig(c Config) wireConfig {
	return wireConfig{
		Revision:  c.Revision,
		Searches:  toWireSearches(c.Searches),
		Out:       c.Out,
		Plans:     c.Plans,
		ChangedBy: c.ChangedBy,
		ChangedAt: c.ChangedAt,
	}
}

func (w wireConfig) config() Config {
	return Config{
		Revision:  w.Revision,
		Searches:  fromWireSearches(w.Searches),
		Out:       w.Out,
		Plans:     w.Plans,
		ChangedBy: w.ChangedBy,
		ChangedAt: w.ChangedAt,
	}
}

// EncodeConfig returns c encoded as JSON.
func EncodeConfig(c Config) ([]byte, error) {
	data, err := json.Marshal(toWireConfig(c))
	return data, oops.Wrapf(err, "encode configuration")
}

// DecodeConfig decodes the output of EncodeConfig.
func DecodeConfig(data []byte) (Config, error) {
	var w wireConfig
	if err := json.Unmarshal(data, &w); err != nil {
		return Config{}, oops.Wrapf(err, "decode configuration")
	}
	return w.config(), nil
}

// EncodeIntent returns i encoded as JSON.
func EncodeIntent(i Intent) ([]byte, error) {
	data, err := json.Marshal(wireIntent{toWireSearches(i.SetSearches), i.TakeOut, i.BringIn})
	return data, oops.Wrapf(err, "encode intent")
}

// DecodeIntent decodes the output of EncodeIntent. Errors match ErrInvalid.
func DecodeIntent(data []byte) (Intent, error) {
	var w wireIntent
	if err := json.Unmarshal(data, &w); err != nil {
		return Intent{}, oops.Wrapf(ErrInvalid, "%v", err)
	}
	return Intent{fromWireSearches(w.SetSearches), w.TakeOut, w.BringIn}, nil
}

// EncodePlan returns p encoded as JSON.
func EncodePlan(p Plan) ([]byte, error) {
	w := wirePlan{ID: p.ID, Base: p.Base, Result: toWireConfig(p.Result), Changes: p.Changes, Warnings: p.Warnings}
	for _, c := range p.Capacities {
		w.Capacities = append(w.Capacities, wireCapacity(c))
	}
	data, err := json.Marshal(w)
	return data, oops.Wrapf(err, "encode plan")
}

// DecodePlan decodes the output of EncodePlan. Errors match ErrInvalid.
func DecodePlan(data []byte) (Plan, error) {
	var w wirePlan
	if err := json.Unmarshal(data, &w); err != nil {
		return Plan{}, oops.Wrapf(ErrInvalid, "%v", err)
	}
	p := Plan{ID: w.ID, Base: w.Base, Result: w.Result.config(), Changes: w.Changes, Warnings: w.Warnings}
	for _, c := range w.Capacities {
		p.Capacities = append(p.Capacities, Capacity(c))
	}
	return p, nil
}
