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

// trouble is what a server does wrong, with the chance for each request.
type trouble struct {
	// shed refuses, fail gives an error after the run, lose runs and closes the connection,
	// spoil answers with bytes that are no reply, extra sends a second reply.
	shed, fail, lose, spoil, extra float64
	// slow is added to the time of each run.
	slow time.Duration
}

const (
	// workTime is the mean time of a run.
	workTime = 3 * time.Millisecond
	// records is the number of records in a part, recordSize their length in bytes.
	records    = 3
	recordSize = 16
)

// server is one start of a backend server behind a proxy.
type server struct {
	id, service, dataCentre string
	replica                 *site.Replica
	proxy                   *proxy
	book                    *book

	mu      sync.Mutex
	trouble trouble
	draw    *rand.Rand
}

func newServer(id, service, dataCentre string, b *book, draw *rand.Rand) (*server, error) {
	s := &server{id: id, service: service, dataCentre: dataCentre, book: b, draw: draw}
	var err error
	s.replica, err = site.NewReplica(s.respond)
	return s, err
}

func (s *server) set(t trouble) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = t
}

// entry is what the server writes of itself into the store.
func (s *server) entry(state string) []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":4,"state":%q,"warmup_left_ms":0,"sequence":1}`,
		s.service, s.proxy.addr(), s.dataCentre, state)
}

// respond runs a request and writes it into the book.
func (s *server) respond(g site.Request) site.Reply {
	if g.Header.Get("Expect-Instance") != s.id {
		return site.Reply{Raw: site.Status(g, http.StatusMisdirectedRequest, "", "Not-Executed: 1")}
	}
	s.mu.Lock()
	t := s.trouble
	dice := [5]float64{}
	for i := range dice {
		dice[i] = s.draw.Float64()
	}
	after := time.Duration(s.draw.ExpFloat64()*float64(workTime)) + t.slow
	s.mu.Unlock()
	a := arrival{server: s, at: time.Now(), id: g.Header.Get("Request-Id"), method: g.Method, target: g.Target, body: string(g.Body)}
	if dice[0] < t.shed {
		s.book.arrive(a)
		return site.Reply{Raw: site.Status(g, http.StatusServiceUnavailable, "", "Not-Executed: 1")}
	}
	a.ran = true
	s.book.arrive(a)
	switch {
	case dice[1] < t.fail:
		return site.Reply{Raw: site.Status(g, http.StatusInternalServerError, "failed", "Server-Stamp: "+s.stamp(a.id)), Delay: after}
	case dice[2] < t.lose:
		return site.Reply{Reset: true, Delay: after}
	case dice[3] < t.spoil:
		return site.Reply{Raw: []byte("HTTP/1.1 200 OK\r\nServer-Stamp: " + s.stamp(a.id) + "\r\nContent-Length: 100\r\n\r\nshort"), Delay: after, Close: true}
	}
	raw := site.Status(g, http.StatusOK, s.answer(a.id), "Server-Stamp: "+s.stamp(a.id))
	r := site.Reply{Raw: raw, Delay: after}
	if dice[4] < t.extra {
		r.Unsolicited = raw
	}
	return r
}

func (s *server) stamp(id string) string {
	return id + "." + s.id
}

// answer is the whole body for a request, different for each request and server.
func (s *server) answer(id string) string {
	var out strings.Builder
	for i := range records {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, s.id, i))
		out.WriteString(fmt.Sprintf("%x", sum[:recordSize/2]))
	}
	return out.String()
}
