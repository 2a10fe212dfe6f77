package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/ebonylock/ebonylock/modules/bouncer"
	"github.com/ebonylock/ebonylock/modules/fetcher"
	"github.com/ebonylock/ebonylock/modules/quarantiner"
	"github.com/ebonylock/ebonylock/modules/rationer"
	"github.com/ebonylock/ebonylock/modules/reporter"
	"github.com/ebonylock/ebonylock/services/replicator"
)

var keys = [][]byte{bytes.Repeat([]byte{1}, 32)}

func startServer(t *testing.T, source replicator.Source) (*Server, *Client) {
	t.Helper()
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys, source, bouncer.Limits{MaxConns: 8, Memory: &rationer.Pool{Limit: 1 << 20}})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	t.Cleanup(s.Close)
	c, err := NewClient(s.Addr(), keys)
	if err != nil {
		t.Fatal(err)
	}
	return s, c
}

func batch(revision uint64, items ...replicator.Item) replicator.Batch {
	return replicator.Batch{Items: items, Cursor: replicator.Cursor{Version: replicator.Version{Revision: revision}}}
}

func TestFollow(t *testing.T) {
	is := is.New(t)
	var c replicator.Cache
	_, client := startServer(t, &c)
	ctx := context.Background()
	_, err := client.Snapshot(ctx)
	is.True(errors.Is(err, ErrUnreachable)) // the other VM has no snapshot yet
	now := time.Now()
	c.Load(batch(5, replicator.Item{Key: "a", Value: []byte("1"), Version: replicator.Version{Revision: 3}}, replicator.Item{Key: "b", Version: replicator.Version{Revision: 5}}), now)
	b, err := client.Snapshot(ctx)
	is.NoErr(err)
	is.Equal(len(b.Items), 2)
	is.Equal(b.Revision, uint64(5))
	is.True(b.Age < time.Second)
	is.Equal(b.StableFor, time.Duration(0))
	cursor := b.Cursor
	done := make(chan replicator.Batch, 1)
	go func() {
		b, _ := client.Changes(ctx, cursor, 5*time.Second)
		done <- b
	}()
	c.Apply(batch(7, replicator.Item{Key: "a", Value: []byte("2"), Version: replicator.Version{Revision: 6}}, replicator.Item{Key: "b", Version: replicator.Version{Revision: 7}, Removed: true}), time.Now())
	b = <-done
	is.Equal(b.Items, []replicator.Item{{Key: "a", Value: []byte("2"), Version: replicator.Version{Revision: 6}}, {Key: "b", Version: replicator.Version{Revision: 7}, Removed: true}})
	_, err = client.Changes(ctx, replicator.Cursor{Version: replicator.Version{Revision: 2}, Epoch: cursor.Epoch}, time.Millisecond)
	is.True(errors.Is(err, replicator.ErrCompacted))
	b, err = client.Changes(ctx, b.Cursor, time.Millisecond)
	is.NoErr(err)
	is.Equal(len(b.Items), 0)
	// A VM that hears of an outage of the store tells its followers.
	again := batch(7)
	again.StableFor = time.Minute
	c.Apply(again, time.Now())
	b, err = client.Changes(ctx, b.Cursor, time.Millisecond)
	is.NoErr(err)
	is.True(b.StableFor >= time.Minute && b.StableFor < time.Minute+time.Second)
}

// TestStaleCopyAnswersAtOnce guards against a reader that is cut off from the store and lets its
// followers wait for changes. It must answer at once with the age of its copy, so that they switch
// to another source.
// TestEraTravelsWithBatch guards against a follower that takes the state of a later era of the store for an older one.
func TestEraTravelsWithBatch(t *testing.T) {
	is := is.New(t)
	var c, follower replicator.Cache
	_, client := startServer(t, &c)
	load := func(era, revision uint64) replicator.Batch {
		v := replicator.Version{Era: era, Revision: revision}
		c.Load(replicator.Batch{Items: []replicator.Item{{Key: "a", Version: v}}, Cursor: replicator.Cursor{Version: v}}, time.Now())
		b, err := client.Snapshot(t.Context())
		is.NoErr(err)
		follower.Load(b, time.Now())
		is.Equal(follower.Item("a").Version, v)
		return b
	}
	before := load(1, 60)
	after := load(2, 50)
	_, err := client.Changes(t.Context(), before.Cursor, time.Minute)
	is.True(errors.Is(err, replicator.ErrCompacted))
	v := replicator.Version{Era: 2, Revision: 51}
	c.Apply(replicator.Batch{Items: []replicator.Item{{Key: "a", Version: v}}, Cursor: replicator.Cursor{Version: v}}, time.Now())
	b, err := client.Changes(t.Context(), after.Cursor, time.Minute)
	is.NoErr(err)
	is.Equal(b.Items[0].Version, v)
	is.Equal(b.Version, v)
}

func TestStaleCopyAnswersAtOnce(t *testing.T) {
	is := is.New(t)
	var c replicator.Cache
	_, client := startServer(t, &c)
	c.Load(batch(5, replicator.Item{Key: "a", Version: replicator.Version{Revision: 3}}), time.Now().Add(-time.Minute))
	b, err := client.Snapshot(context.Background())
	is.NoErr(err)
	began := time.Now()
	b, err = client.Changes(context.Background(), b.Cursor, 20*time.Second)
	is.NoErr(err)
	is.True(b.Age > replicator.StaleAfter)
	is.True(time.Since(began) < 10*time.Second)
}

func TestStrangersAreRefused(t *testing.T) {
	is := is.New(t)
	var c replicator.Cache
	c.Load(batch(5, replicator.Item{Key: "a", Version: replicator.Version{Revision: 3}}), time.Now())
	s, _ := startServer(t, &c)
	other, err := NewClient(s.Addr(), [][]byte{bytes.Repeat([]byte{2}, 32)})
	is.NoErr(err)
	_, err = other.Snapshot(context.Background())
	is.True(errors.Is(err, ErrUnreachable))
	both, err := NewClient(s.Addr(), [][]byte{keys[0], bytes.Repeat([]byte{2}, 32)}) // key rotation: both keys are accepted
	is.NoErr(err)
	_, err = both.Snapshot(context.Background())
	is.NoErr(err)
	raw := fetcher.New(s.Addr(), 1)
	for path, want := range map[string]int{pathRead: fasthttp.StatusForbidden, "/other": fasthttp.StatusNotFound} {
		code, _, err := raw.Raw(fasthttp.MethodPost, path, "", []byte("nonsense"), time.Now().Add(time.Second))
		is.NoErr(err)
		is.Equal(code, want)
	}
}

func TestLossIsTold(t *testing.T) {
	is := is.New(t)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys, &replicator.Cache{}, bouncer.Limits{})
	is.NoErr(err)
	received := make(chan []quarantiner.Loss, 1)
	s.OnLosses = func(list []quarantiner.Loss) { received <- list }
	go func() { _ = s.Serve() }()
	defer s.Close()
	c, err := NewClient(s.Addr(), keys)
	is.NoErr(err)
	before := time.Now().Round(0) // without a monotonic clock, as the decoded times
	list := []quarantiner.Loss{
		{Fingerprint: 1 << 63, Group: 2, Software: quarantiner.Software{Service: "s", Version: "v1"}, Server: "i-1", At: before.Add(-1500 * time.Microsecond), Answered: before.Add(-time.Minute)},
		{Fingerprint: 1 << 63, Group: 2, Software: quarantiner.Software{Service: "s", Version: "v2"}, Server: "i-2", Began: before.Add(-1500 * time.Microsecond), At: before, GroupAnswered: before.Add(-time.Second)},
	}
	is.NoErr(c.ReportLosses(list))
	got := <-received
	is.Equal(len(got), 2)
	// Only their ages are sent, since the clocks of two VMs differ.
	is.True(!got[1].At.Before(before.Add(-time.Millisecond)) && !got[1].At.After(time.Now()))
	is.True(!got[1].Began.Before(got[0].At)) // the order is kept
	// Apart from the time on the way, all arrives as it was sent.
	for i, l := range got {
		is.Equal(l.MovedTo(list[i].At), list[i])
	}
}

// TestReportsDoNotWaitForReads guards against losses that another VM doesn't learn, since all connections to it are in use
// by reads that wait for changes, or by other reports of the same moment.
func TestReportsDoNotWaitForReads(t *testing.T) {
	is := is.New(t)
	var c replicator.Cache
	c.Load(batch(5, replicator.Item{Key: "a", Version: replicator.Version{Revision: 3}}), time.Now())
	s, client := startServer(t, &c)
	const reports = 20
	received := make(chan []quarantiner.Loss, reports)
	s.OnLosses = func(list []quarantiner.Loss) { received <- list }
	start, err := c.Snapshot(context.Background())
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	reading := make(chan struct{}, maxConns)
	for range maxConns {
		go func() {
			reading <- struct{}{}
			_, _ = client.Changes(ctx, start.Cursor, 5*time.Second)
		}()
	}
	for range maxConns {
		<-reading
	}
	for client.http.Connections() < maxConns {
		time.Sleep(time.Millisecond)
	}
	var wg sync.WaitGroup
	for i := range reports {
		wg.Go(func() {
			is.NoErr(client.ReportLosses([]quarantiner.Loss{{Fingerprint: quarantiner.Fingerprint(i), Server: "i-1", At: time.Now()}}))
		})
	}
	wg.Wait()
	is.Equal(len(received), reports)
}

// TestAnswerIsTold checks that a reply which clears a request of losses reaches other VMs, as of its arrival.
func TestAnswerIsTold(t *testing.T) {
	is := is.New(t)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys, &replicator.Cache{}, bouncer.Limits{})
	is.NoErr(err)
	received := make(chan quarantiner.Answer, 1)
	s.OnAnswer = func(a quarantiner.Answer) { received <- a }
	go func() { _ = s.Serve() }()
	defer s.Close()
	c, err := NewClient(s.Addr(), keys)
	is.NoErr(err)
	a := quarantiner.Answer{Fingerprint: 1 << 63, Group: 2, Software: quarantiner.Software{Service: "s", Version: "v1"}, At: time.UnixMilli(1767225600000)}
	before := time.Now()
	is.NoErr(c.ReportAnswer(a))
	got := <-received
	is.True(!got.At.Before(before) && !got.At.After(time.Now()))
	got.At = a.At
	is.Equal(got, a)
}

// TestSameBatchIsCompressedOnce checks that followers at the same revision share one compressed
// batch, whatever their wait.
func TestSameBatchIsCompressedOnce(t *testing.T) {
	is := is.New(t)
	s := &Server{}
	b := batch(9)
	for i := range 100 {
		b.Items = append(b.Items, replicator.Item{Key: fmt.Sprint("servers/", i), Value: bytes.Repeat([]byte("entry "), 40), Version: replicator.Version{Revision: 9}})
	}
	first := s.compressed(readRequest{after: replicator.Cursor{Version: replicator.Version{Revision: 3}}, wait: time.Second}, b)
	second := s.compressed(readRequest{after: replicator.Cursor{Version: replicator.Version{Revision: 3}}, wait: time.Minute}, b)
	is.True(&first[0] == &second[0])
	is.True(len(first) < 3000) // 25 kB without compression
	other := s.compressed(readRequest{after: replicator.Cursor{Version: replicator.Version{Revision: 4}}}, batch(9))
	r, err := decodeReply(appendReply(nil, time.Second, other), time.Now())
	got := r.batch
	is.NoErr(err)
	is.Equal(len(got.Items), 0)
	is.Equal(got.Age, time.Second)
}

func FuzzDecodeReply(f *testing.F) {
	f.Add(appendReply(nil, time.Second, compress(batch(3, replicator.Item{Key: "k", Value: []byte("v"), Version: replicator.Version{Revision: 2}}))))
	f.Add(appendLosses(nil, []quarantiner.Loss{{Fingerprint: 1, Group: 2, Server: "i-1", GroupAnswered: time.Now()}}, time.Now()))
	f.Fuzz(func(_ *testing.T, raw []byte) {
		_, _ = decodeReply(raw, time.Now())
		_, _, _, _ = decodeRequest(raw)
		_, _ = decodeBatch(raw)
	})
}

// TestEvidenceTravels checks that what one VM has observed of a replica reaches another VM with the
// reads that both send anyway.
func TestEvidenceTravels(t *testing.T) {
	is := is.New(t)
	var c replicator.Cache
	c.Load(batch(5, replicator.Item{Key: "a", Version: replicator.Version{Revision: 3}}), time.Now())
	s, reporting := startServer(t, &c)
	var collected, observed, learned reporter.Evidence
	s.Evidence, reporting.Evidence = &collected, &observed
	other, err := NewClient(s.Addr(), keys)
	is.NoErr(err)
	other.Evidence = &learned
	now := time.Now()
	replica := reporter.Hash("i-1")
	for range 20 {
		observed.Record(replica, false, 0, now)
		observed.Record(reporter.Hash("i-2"), true, 1, now)
	}
	is.Equal(learned.VerdictFor(replica, now).FailureRate, 0.0)
	for _, client := range []*Client{reporting, other} {
		_, err := client.Snapshot(context.Background())
		is.NoErr(err)
	}
	now = time.Now()
	for _, e := range []*reporter.Evidence{&collected, &observed, &learned} {
		is.True(e.VerdictFor(replica, now).FailureRate > 0.9)
		is.Equal(e.VerdictFor(reporter.Hash("i-2"), now).FailureRate, 0.0)
	}
}

// TestLossesTravel checks that a VM that has just started learns of all losses with its first read of another VM, and
// with later reads of recent ones only.
func TestLossesTravel(t *testing.T) {
	is := is.New(t)
	var c replicator.Cache
	c.Load(batch(5, replicator.Item{Key: "a", Version: replicator.Version{Revision: 3}}), time.Now())
	s, client := startServer(t, &c)
	var known, learned quarantiner.Tracker
	s.Losses, client.Losses = &known, &learned
	now := time.Now()
	lose := func(f quarantiner.Fingerprint, age time.Duration) {
		for _, server := range []string{"i-1", "i-2"} {
			known.Report(quarantiner.Loss{Fingerprint: f, Group: f + 100, Server: server, At: now.Add(-age)})
		}
	}
	start, err := c.Snapshot(context.Background())
	is.NoErr(err)
	read := func() {
		_, err := client.Changes(context.Background(), start.Cursor, time.Millisecond)
		is.NoErr(err)
	}
	lose(1, 5*time.Minute)
	read()
	is.Equal(learned.Verdict(1, quarantiner.Software{}, now), quarantiner.Blocked)
	is.Equal(learned.Verdict(1, quarantiner.Software{}, now.Add(6*time.Minute)), quarantiner.Allowed) // ten minutes after the losses
	lose(2, time.Minute)
	lose(3, 0)
	read()
	is.Equal(learned.Verdict(2, quarantiner.Software{}, now), quarantiner.Allowed)
	is.Equal(learned.Verdict(3, quarantiner.Software{}, now), quarantiner.Blocked)
	is.Equal(len(learned.Losses(true, now)), 2)
}

func TestLossesCodec(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	in := []quarantiner.Loss{
		{Fingerprint: 1 << 63, Group: 2, Software: quarantiner.Software{Service: "s", Version: "v1"}, Server: "i-1", Began: now.Add(-4 * time.Second), At: now.Add(-3 * time.Second), GroupAnswered: now.Add(-5 * time.Second)},
		{Fingerprint: 1, Server: "i-2", At: now, Answered: now.Add(-time.Minute)},
	}
	raw := appendLosses(nil, in, now)
	r, err := decodeReply(raw, now)
	is.NoErr(err)
	is.Equal(r.losses, in)
	for range 2 * quarantiner.MaxReported {
		raw = appendLosses(raw, in, now)
	}
	r, err = decodeReply(raw, now)
	is.NoErr(err)
	is.Equal(len(r.losses), quarantiner.MaxReported)
}

// TestClosedStreamIsClosed guards against a stream that stays open until OnStream returns although it was closed: its
// reader may wait for a client that sends nothing more.
func TestClosedStreamIsClosed(t *testing.T) {
	is := is.New(t)
	s, err := Listen(netip.MustParseAddrPort("127.0.0.1:0"), keys, &replicator.Cache{}, bouncer.Limits{MaxConns: 8})
	is.NoErr(err)
	t.Cleanup(s.Close)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	s.OnStream = func(c net.Conn) {
		_ = c.Close()
		<-release
	}
	go func() { _ = s.Serve() }()
	c, err := DialStream(s.Addr(), &net.Dialer{})
	is.NoErr(err)
	t.Cleanup(func() { _ = c.Close() })
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	_, err = c.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
}
