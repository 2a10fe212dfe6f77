package coordinator

import (
	"context"
	"time"

	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/recorder"
	"github.com/ebonylock/ebonylock/services/dispatcher"
	"github.com/ebonylock/ebonylock/services/linker"
)

// Dispatch runs a batch of sub-requests that another VM sent.
func (c *Coordinator) Dispatch(ctx context.Context, batch []dispatcher.Subrequest, cancels <-chan int, emit func(dispatcher.Event)) error {
	<-c.started
	return c.dispatch.Dispatch(ctx, batch, cancels, emit)
}

// Execute runs a request whose ticket this VM issued.
func (c *Coordinator) Execute(ctx context.Context, x linker.Execute) linker.Executed {
	<-c.started
	return c.submit.Execute(ctx, x)
}

// Held returns those of the named servers that this VM may still be using, and the configuration revision
// in force.
func (c *Coordinator) Held(servers []string) ([]string, uint64) {
	<-c.started
	cfg, _ := c.config.Current()
	c.mu.Lock()
	settled := !time.Now().Before(c.quietUntil)
	c.mu.Unlock()
	if !settled {
		return servers, cfg.Revision
	}
	return c.dispatch.Held(servers), cfg.Revision
}

// HandleLoss handles a report that another VM lost a server while it ran a request.
func (c *Coordinator) HandleLoss(l quarantiner.Loss) {
	<-c.started
	if c.quarantine.Report(l) {
		c.ring.Record(time.Now(), recorder.RequestSuspect, l.Server, "server lost at another VM while it ran the request")
	}
}

// Announce reports to every other VM of the view that a server was lost while it ran a request. Failed reports
// are not retried.
func (c *Coordinator) Announce(l quarantiner.Loss) {
	v := c.View()
	if v == nil {
		return
	}
	for id, m := range v.VMs {
		if id == c.self {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
			defer cancel()
			_ = c.link.Remote(m.Link).ReportLoss(ctx, l)
		}()
	}
}

// Config returns the encoded configuration in force, or nil if none is known.
func (c *Coordinator) Config() []byte {
	<-c.started
	return c.config.Raw()
}

// Drain makes this VM not ready and releases its servers to other VMs.
func (c *Coordinator) Drain() {
	<-c.started
	c.mu.Lock()
	c.draining = true
	c.mu.Unlock()
	c.ring.Record(time.Now(), recorder.Stopping, c.self, "giving up backend servers")
	c.gossip.Drain()
	c.rebuild()
}
