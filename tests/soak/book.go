package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// kind is a kind of request.
type kind int

const (
	search kind = iota
	read
	write
)

// ask is one request of a caller and what came of it.
type ask struct {
	id     string
	kind   kind
	method string
	target string
	body   string
	vm     string
	sent   time.Time
	// answered is zero while there is no answer, and for good if the connection ended without one.
	answered time.Time
	status   int
	stamps   []string
	missing  int
	answer   string
	// cut is true once the connection has ended without an answer.
	cut bool
}

// arrival is a request at a server.
type arrival struct {
	server         *server
	at             time.Time
	id             string
	method, target string
	body           string
	// ran is false for one that was refused.
	ran bool
}

// book holds what callers and servers have seen. It is checked while the soak runs.
type book struct {
	mu       sync.Mutex
	asks     map[string]*ask
	arrivals map[string][]arrival
	// byService are the arrivals of all requests at the servers of a service.
	byService map[string][]arrival
	// harmed are the times in which a VM's process was killed or paused.
	harmed map[string][]span
	broken []string
}

// span is a time in which a fault lasts; end is zero while it does.
type span struct {
	begin, end time.Time
}

// harming notes that a VM's process is harmed until the function that it returns is called.
func (b *book) harming(vm string) func() {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := len(b.harmed[vm])
	b.harmed[vm] = append(b.harmed[vm], span{begin: time.Now()})
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.harmed[vm][i].end = time.Now()
	}
}

// unharmed reports whether a VM's process has run since the time given; it needs the lock.
func (b *book) unharmed(vm string, since time.Time) bool {
	for _, s := range b.harmed[vm] {
		if s.end.IsZero() || s.end.After(since) {
			return false
		}
	}
	return true
}

// well returns the VMs that have given a whole answer to a search and run a write, both sent
// after the time given.
func (b *book) well(after time.Time) map[string]bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	searched, out := make(map[string]bool), make(map[string]bool)
	for _, q := range b.asks {
		if q.sent.After(after) && q.status == http.StatusOK && q.kind == search && q.missing == 0 {
			searched[q.vm] = true
		}
	}
	for _, q := range b.asks {
		if q.sent.After(after) && q.status == http.StatusOK && q.kind == write {
			out[q.vm] = searched[q.vm]
		}
	}
	return out
}

func newBook() *book {
	return &book{asks: make(map[string]*ask), arrivals: make(map[string][]arrival), byService: make(map[string][]arrival), harmed: make(map[string][]span)}
}

// fault records a broken promise.
func (b *book) fault(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faultLocked(format, args...)
}

func (b *book) faultLocked(format string, args ...any) {
	b.broken = append(b.broken, fmt.Sprintf(format, args...))
}

// send takes in a request that is about to be sent.
func (b *book) send(a *ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks[a.id] = a
}

// arrive takes in a request at a server and checks that a caller sent it, that it may be there,
// and that one that must not be repeated has not run.
func (b *book) arrive(a arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := b.asks[a.id]
	switch {
	case q == nil || q.method != a.method || q.target != a.target || q.body != a.body:
		b.faultLocked("unasked: %s got %s %s of request %s", a.server.id, a.method, a.target, a.id)
		return
	case !slices.Contains(services[q.kind], a.server.service):
		b.faultLocked("wrong service: %s of %s got request %s for %s", a.server.id, a.server.service, a.id, a.target)
	}
	if a.ran {
		b.checkRun(q, a)
	}
	b.arrivals[a.id] = append(b.arrivals[a.id], a)
	b.byService[a.server.service] = append(b.byService[a.server.service], a)
}

// checkRun needs the lock.
func (b *book) checkRun(q *ask, a arrival) {
	if refused(q.status) {
		b.faultLocked("refused, then run: request %s, status %d, at %s", q.id, q.status, a.server.id)
	}
	ran := 0
	for _, before := range b.arrivals[a.id] {
		if before.ran && before.server.service == a.server.service {
			ran++
		}
	}
	if q.kind == write && ran > 0 {
		b.faultLocked("run twice: request %s at %s", q.id, a.server.id)
	}
	if ran >= maxAttempts {
		b.faultLocked("run more than %d times at %s: request %s", maxAttempts, a.server.service, q.id)
	}
}

// refused reports whether a status promises that the request has not run and will not.
func refused(status int) bool {
	return slices.Contains([]int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}, status)
}

// end takes in the end of a request and checks its answer.
func (b *book) end(q *ask) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ran []arrival
	for _, a := range b.arrivals[q.id] {
		if a.ran {
			ran = append(ran, a)
		}
	}
	switch {
	case q.cut && len(b.arrivals[q.id]) > 0 && b.unharmed(q.vm, q.sent):
		b.faultLocked("lost: request %s was passed on by %s, whose process ran, and got no answer", q.id, q.vm)
	case refused(q.status) && len(ran) > 0:
		b.faultLocked("refused after a run: request %s, status %d, ran at %s", q.id, q.status, ran[0].server.id)
	case q.status == http.StatusOK && q.kind == search:
		b.checkParts(q, ran)
	case q.status == http.StatusOK:
		b.checkWhole(q, ran)
	}
}

// checkWhole: a success is the whole answer of the server that gave its receipt.
func (b *book) checkWhole(q *ask, ran []arrival) {
	for _, a := range ran {
		if len(q.stamps) == 1 && a.server.stamp(q.id) == q.stamps[0] && a.server.answer(q.id) == q.answer {
			return
		}
	}
	b.faultLocked("mixed: request %s got %q with receipts %v", q.id, q.answer, q.stamps)
}

// checkParts: a success names receipts of different shards, counts the others as missing, and
// holds the greatest records of the parts named.
func (b *book) checkParts(q *ask, ran []arrival) {
	var all []string
	shards := make(map[string]bool)
	for _, stamp := range q.stamps {
		i := slices.IndexFunc(ran, func(a arrival) bool { return a.server.stamp(q.id) == stamp })
		if i < 0 || shards[ran[i].server.service] {
			b.faultLocked("mixed: request %s got receipt %s", q.id, stamp)
			return
		}
		shards[ran[i].server.service] = true
		for part := range slices.Chunk([]byte(ran[i].server.answer(q.id)), recordSize) {
			all = append(all, string(part))
		}
	}
	slices.Sort(all)
	slices.Reverse(all)
	want := strings.Join(all[:min(topRecords, len(all))], "")
	if len(shards)+q.missing != len(services[search]) || len(shards) < leastParts || want != q.answer {
		b.faultLocked("mixed: request %s got %d parts, %d missing, %q for %q", q.id, len(shards), q.missing, q.answer, want)
	}
}

// checkBudget: in any window, arrivals beyond the first of each request stay within the ratio
// and the slack of all VMs together.
func (b *book) checkBudget() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for service, list := range b.byService {
		seen := make(map[string]bool)
		var extra, first []time.Time
		for _, a := range list {
			if seen[a.id] {
				extra = append(extra, a.at)
			} else {
				first = append(first, a.at)
			}
			seen[a.id] = true
		}
		for i := range extra {
			end := extra[i].Add(retryWindow)
			n := float64(within(extra, extra[i], end))
			if most := retryRatio*float64(within(first, extra[i], end)) + retrySlack; n > most {
				b.faultLocked("budget: %v extra sends to %s in %v, %.1f allowed", n, service, retryWindow, most)
				break
			}
		}
	}
}

// within counts the times from start until end.
func within(times []time.Time, start, end time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(start) && t.Before(end) {
			n++
		}
	}
	return n
}

// counts returns the number of requests by what came of them.
func (b *book) counts() (served, refusedOnes, failed, cut int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, q := range b.asks {
		switch {
		case q.status == http.StatusOK:
			served++
		case refused(q.status):
			refusedOnes++
		case q.cut:
			cut++
		case q.status != 0:
			failed++
		}
	}
	return served, refusedOnes, failed, cut
}

func (b *book) faults() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.broken)
}
