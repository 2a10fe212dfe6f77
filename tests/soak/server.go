package soak

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ebonylock/ebonylock/tests/site"
)

// serverFaults are the faults of a server, with the probability of each for a request.
type serverFaults struct {
	// shed refuses the request. fail answers with an error after execution. reset resets the connection
	// after execution. truncate sends a reply that ends early. unsolicited sends the reply twice.
	shed, fail, reset, truncate, unsolicited float64
	// delay is added to the time of each execution.
	delay time.Duration
}

const (
	// meanWorkTime is the mean time of an execution.
	meanWorkTime = 3 * time.Millisecond
	// recordsPerPart is the number of records in a part, recordSize the length of a record in bytes.
	recordsPerPart = 3
	recordSize     = 16
)

// server is one instance of a backend server behind a proxy. A restart is a new instance.
type server struct {
	id, service, dataCentre string
	replica                 *site.Replica
	proxy                   *proxy
	history                 *history

	mu     sync.Mutex
	faults serverFaults
	rng    *rand.Rand
}

func newServer(id, service, dataCentre string, b *history, rng *rand.Rand) (*server, error) {
	s := &server{id: id, service: service, dataCentre: dataCentre, history: b, rng: rng}
	var err error
	s.replica, err = site.NewReplica(s.respond)
	return s, err
}

func (s *server) setFaults(t serverFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = t
}

// entry returns the value that the server registers in the store.
func (s *server) entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"warmup_left_ms":0,"sequence":1}`,
		s.service, s.proxy.addr(), s.dataCentre, state)
}

// respond executes or refuses a request and records it in the history. It draws the same number of
// random values for each request that names this instance, whatever the faults are.
func (s *server) respond(g site.Request) site.Reply {
	if g.Header.Get("Expect-Instance") != s.id {
		return site.Reply{Raw: site.Status(g, http.StatusMisdirectedRequest, "", "Not-Executed: 1")}
	}
	s.mu.Lock()
	t := s.faults
	rolls := [5]float64{}
	for i := range rolls {
		rolls[i] = s.rng.Float64()
	}
	after := time.Duration(s.rng.ExpFloat64()*float64(meanWorkTime)) + t.delay
	s.mu.Unlock()
	a := arrival{server: s, at: time.Now(), id: g.Header.Get("Request-Id"), method: g.Method, target: g.Target, body: string(g.Body)}
	if rolls[0] < t.shed {
		s.history.recordArrival(a)
		return site.Reply{Raw: site.Status(g, http.StatusServiceUnavailable, "", "Not-Executed: 1")}
	}
	a.executed = true
	s.history.recordArrival(a)
	switch {
	case rolls[1] < t.fail:
		return site.Reply{Raw: site.Status(g, http.StatusInternalServerError, "failed", "Server-Stamp: "+s.stamp(a.id)), Delay: after}
	case rolls[2] < t.reset:
		return site.Reply{Reset: true, Delay: after}
	case rolls[3] < t.truncate:
		return site.Reply{Raw: []byte("HTTP/1.1 200 OK\r\nServer-Stamp: " + s.stamp(a.id) + "\r\nContent-Length: 100\r\n\r\nshort"), Delay: after, Close: true}
	}
	raw := site.Status(g, http.StatusOK, s.answer(a.id), "Server-Stamp: "+s.stamp(a.id))
	r := site.Reply{Raw: raw, Delay: after}
	if rolls[4] < t.unsolicited {
		r.Unsolicited = raw
	}
	return r
}

func (s *server) stamp(id string) string {
	return id + "." + s.id
}

// answer returns the complete body for a request, which differs for each request and server.
func (s *server) answer(id string) string {
	var out strings.Builder
	for i := range recordsPerPart {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, s.id, i))
		out.WriteString(fmt.Sprintf("%x", sum[:recordSize/2]))
	}
	return out.String()
}
