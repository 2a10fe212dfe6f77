package controller

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/modules/replier"
)

// wireInForce lists VM IDs by the configuration revision in force there. Unheard are the VMs that did
// not answer.
type wireInForce struct {
	Revision uint64   `json:"revision"`
	InForce  []string `json:"in-force"`
	Behind   []string `json:"behind"`
	Unheard  []string `json:"unheard"`
}

// revisionStatus returns at which VMs the revision or a later one is in force, which are behind, and
// which did not answer within one second.
func (s *Server) revisionStatus(revision uint64) wireInForce {
	ctx, stop := context.WithTimeout(context.Background(), time.Second)
	defer stop()
	w := wireInForce{Revision: revision, InForce: []string{}, Behind: []string{}, Unheard: []string{}}
	view := s.fleet.View()
	if view == nil {
		return w
	}
	revisions := s.fleet.Revisions(ctx)
	for _, id := range slices.Sorted(maps.Keys(view.VMs)) {
		r, ok := revisions[id]
		switch {
		case !ok:
			w.Unheard = append(w.Unheard, id)
		case r < revision:
			w.Behind = append(w.Behind, id)
		default:
			w.InForce = append(w.InForce, id)
		}
	}
	return w
}

type wireIntentStatus struct {
	wireInForce
	Out       []string  `json:"out"`
	Searches  []string  `json:"searches"`
	ChangedBy string    `json:"changed-by"`
	ChangedAt time.Time `json:"changed-at"`
}

func (s *Server) intentStatus(ctx *fasthttp.RequestCtx) {
	cfg, _ := s.configs.Current()
	replier.JSON(ctx, fasthttp.StatusOK, wireIntentStatus{
		wireInForce: s.revisionStatus(cfg.Revision),
		Out:         cfg.Out,
		Searches:    slices.Sorted(maps.Keys(cfg.Searches)),
		ChangedBy:   cfg.ChangedBy,
		ChangedAt:   cfg.ChangedAt,
	})
}

type wireVM struct {
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	State      string `json:"state"`
	Operators  string `json:"operators"`
	Draining   bool   `json:"draining"`
}

type wireServer struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	DataCentre string `json:"data-centre"`
	Slots      int    `json:"slots"`
	Limit      int    `json:"limit"`
	Running    int    `json:"running"`
	Queued     int    `json:"queued"`
	Cold       bool   `json:"cold"`
	Draining   bool   `json:"draining"`
	Open       bool   `json:"open"`
}

type wireStatus struct {
	VM       string       `json:"vm"`
	Ready    bool         `json:"ready"`
	Revision uint64       `json:"revision"`
	Out      []string     `json:"out"`
	VMs      []wireVM     `json:"vms"`
	Owned    []wireServer `json:"owned"`
	NoOwner  []string     `json:"no-owner"`
}

func (s *Server) status(ctx *fasthttp.RequestCtx) {
	cfg, _ := s.configs.Current()
	w := wireStatus{
		VM:       s.cfg.VM,
		Ready:    s.fleet.Ready(),
		Revision: cfg.Revision,
		Out:      cfg.Out,
		VMs:      []wireVM{},
		Owned:    []wireServer{},
		NoOwner:  []string{},
	}
	if view := s.fleet.View(); view != nil {
		for _, id := range slices.Sorted(maps.Keys(view.VMs)) {
			m := view.VMs[id]
			w.VMs = append(w.VMs, wireVM{m.ID, m.DataCentre, m.State.String(), m.Operators.String(), m.Draining})
		}
		for _, id := range slices.Sorted(maps.Keys(view.Servers)) {
			if _, ok := view.Owners[id]; !ok {
				w.NoOwner = append(w.NoOwner, id)
			}
		}
	}
	for _, b := range s.fleet.Statuses() {
		w.Owned = append(w.Owned, wireServer{
			ID:         b.Server.ID,
			Service:    b.Server.Service,
			DataCentre: b.Server.DataCentre,
			Slots:      b.Server.Slots,
			Limit:      b.Limit,
			Running:    b.Running,
			Queued:     b.Queued,
			Cold:       b.Cold,
			Draining:   b.Draining,
			Open:       b.Open,
		})
	}
	replier.JSON(ctx, fasthttp.StatusOK, w)
}

type wireEvent struct {
	Wall    time.Time `json:"wall"`
	Logical uint32    `json:"logical"`
	VM      string    `json:"vm"`
	Kind    string    `json:"kind"`
	Subject string    `json:"subject"`
	Detail  string    `json:"detail"`
}

func (s *Server) timeline(ctx *fasthttp.RequestCtx) {
	out := []wireEvent{}
	for _, e := range s.ring.Events() {
		out = append(out, s.wireEvent(e))
	}
	replier.JSON(ctx, fasthttp.StatusOK, out)
}

func (s *Server) wireEvent(e recorder.Event) wireEvent {
	return wireEvent{e.Stamp.Wall, e.Stamp.Logical, s.cfg.VM, string(e.Kind), e.Subject, e.Detail}
}
