package answerer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/ebonylock/ebonylock/services/linker"
	"github.com/ebonylock/ebonylock/services/scatterer"
)

// fakeServices implements the services that a Server uses, and counts the work that reaches them.
type fakeServices struct {
	searches, submits int
	err               error
}

func (t *fakeServices) Search(_ context.Context, q scatterer.Query) (scatterer.Answer, error) {
	if q.Search != "s" {
		return scatterer.Answer{}, scatterer.ErrUnknownSearch
	}
	t.searches++
	return scatterer.Answer{Generation: 3, Covered: []scatterer.PartitionRef{{Service: "a", Partition: "p"}}, Results: [][]byte{[]byte(`{}`)}}, t.err
}

func (t *fakeServices) Submit(context.Context, linker.Execute) (int, []byte) {
	t.submits++
	return http.StatusOK, []byte(`{"outcome":"done"}`)
}

func (*fakeServices) Mint() string                { return "fresh" }
func (*fakeServices) HasService(name string) bool { return name == "r" }

func serve(t *testing.T, fake *fakeServices) string {
	t.Helper()
	_, url := listen(t, fake)
	return url
}

func listen(t *testing.T, fake *fakeServices) (*Server, string) {
	t.Helper()
	s, err := Listen(Config{
		Listen:          netip.MustParseAddrPort("127.0.0.1:0"),
		MaxBody:         2048,
		DefaultDeadline: time.Second,
		MaxDeadline:     10 * time.Second,
		MaxInFlight:     8,
	}, fake, fake, fake)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve() }()
	t.Cleanup(func() { _ = s.Shutdown(context.Background()) })
	return s, "http://" + s.Addr().String()
}

func post(t *testing.T, url, body string) (int, []byte) {
	t.Helper()
	w, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	if err != nil {
		t.Fatal(err)
	}
	return w.StatusCode, raw
}

// TestBadInput checks that each invalid request is refused with its own code and the outcome
// "not-run", and that no service is called to run it.
func TestBadInput(t *testing.T) {
	for _, tc := range []struct {
		path, body string
		status     int
		code       string
	}{
		{"/v1/search/none", `{"query":1}`, 404, "unknown-search"},
		{"/v1/search/s", `{"query":`, 400, "malformed-body"},
		{"/v1/search/s", `{"query":1} {}`, 400, "malformed-body"},
		{"/v1/search/s", `{"query":1,"colour":2}`, 400, "malformed-body"},
		{"/v1/search/s", `{"query":1,"deadline-ms":-1}`, 400, "bad-deadline"},
		{"/v1/search/s", `{"query":1,"deadline-ms":0}`, 400, "bad-deadline"},
		{"/v1/search/s", `{"query":1,"deadline-ms":99999999999999}`, 400, "bad-deadline"},
		{"/v1/search/s", `{"query":1,"min-coverage":1.1}`, 400, "bad-coverage"},
		{"/v1/search/s", `{"query":1,"mode":"slow"}`, 400, "bad-mode"},
		{"/v1/search/s", `{"query":"` + strings.Repeat("x", 4096) + `"}`, 413, "body-too-large"},
		{"/v1/request/none", `{"request":1}`, 404, "unknown-service"},
		{"/v1/request/r", `[]`, 400, "malformed-body"},
		{"/v1/request/r", `{"request":1,"deadline-ms":-5}`, 400, "bad-deadline"},
		{"/v2", `{}`, 404, "unknown-path"},
	} {
		t.Run(tc.code+" "+tc.path, func(t *testing.T) {
			is := is.New(t)
			fake := &fakeServices{}
			status, raw := post(t, serve(t, fake)+tc.path, tc.body)
			var w wireRefusal
			is.NoErr(json.Unmarshal(raw, &w))
			is.Equal(status, tc.status)
			is.Equal(w.Outcome, "not-run")
			is.Equal(w.Error.Code, tc.code)
			is.Equal(fake.searches+fake.submits, 0)
		})
	}
}

func TestGoodInput(t *testing.T) {
	is := is.New(t)
	fake := &fakeServices{}
	url := serve(t, fake)
	status, raw := post(t, url+"/v1/search/s", `{"query":1,"mode":"fast","min-coverage":0.5}`)
	is.Equal(status, 200)
	var w wireAnswer
	is.NoErr(json.Unmarshal(raw, &w))
	is.True(w.Complete)
	is.Equal(w.Covered, []wirePartition{{"a", "p"}})
	is.True(bytes.Contains(raw, []byte(`"uncovered":[]`)))
	status, raw = post(t, url+"/v1/ticket", "")
	is.Equal(status, 200)
	is.Equal(string(raw), `{"ticket":"fresh"}`)
	fake.err = scatterer.ErrOverload
	status, raw = post(t, url+"/v1/search/s", `{"query":1}`)
	is.Equal(status, 503)
	is.True(bytes.Contains(raw, []byte(`"retry-after-ms":100`)))
}

// TestResentRequestIsNotCalledNotRun covers a request that has run, whose answer was lost, and which
// the caller sends again, with its ticket, to a VM that can't serve it: one that has just started and
// does not know the service yet, or one at its limit. Only the VM that issued the ticket knows
// whether the request has run.
func TestResentRequestIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	fake := &fakeServices{}
	s, url := listen(t, fake)
	status, raw := post(t, url+"/v1/request/none", `{"request":1,"ticket":"used"}`)
	is.Equal(status, http.StatusOK)
	is.Equal(string(raw), `{"outcome":"done"}`)
	is.Equal(fake.submits, 1)

	outcome := func(body string) string {
		_, raw := post(t, url+"/v1/request/r", body)
		var w wireRefusal
		is.NoErr(json.Unmarshal(raw, &w))
		return w.Outcome
	}
	is.Equal(outcome(`{"request":1,"ticket":"used","deadline-ms":-5}`), "unknown")
	s.inFlight.Add(int64(s.cfg.MaxInFlight))
	is.Equal(outcome(`{"request":1,"ticket":"used"}`), "unknown")
	is.Equal(s.inFlight.Load(), int64(s.cfg.MaxInFlight)) // a refused request is not counted
	is.Equal(fake.submits, 1)
}

// TestStopCutsNoKeptConnection guards against requests that are cut at a stop because they arrive on a kept connection just
// as it is closed as an idle one. Callers use their connections without a pause until they are told of the close.
func TestStopCutsNoKeptConnection(t *testing.T) {
	is := is.New(t)
	s, url := listen(t, &fakeServices{})
	addr := strings.TrimPrefix(url, "http://")
	var wg sync.WaitGroup
	var answered, cut atomic.Int64
	for range 8 {
		c, err := net.Dial("tcp4", addr)
		is.NoErr(err)
		wg.Go(func() {
			defer func() { _ = c.Close() }()
			for r := bufio.NewReader(c); ; {
				_, err := io.WriteString(c, "POST /v1/ticket HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n")
				var w *http.Response
				if err == nil {
					w, err = http.ReadResponse(r, nil)
				}
				if err != nil {
					cut.Add(1)
					return
				}
				_, _ = io.Copy(io.Discard, w.Body)
				answered.Add(1)
				if w.Close {
					return
				}
			}
		})
	}
	for answered.Load() < 100 {
		time.Sleep(time.Millisecond)
	}
	s.Drain()
	left := make(chan struct{})
	go func() { wg.Wait(); close(left) }()
	select { // the wait for the balancer
	case <-left:
	case <-time.After(10 * time.Second):
	}
	is.NoErr(s.Shutdown(t.Context()))
	<-left
	is.Equal(cut.Load(), int64(0))
}
