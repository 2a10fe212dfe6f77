package answerer

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"runtime"

	"github.com/ebonylock/ebonylock/services/scatterer"
)

// wireSearch is the body of a search.
type wireSearch struct {
	Query       json.RawMessage `json:"query"`
	Deadline    *int64          `json:"deadline-ms"`
	MinCoverage *float64        `json:"min-coverage"`
	Mode        string          `json:"mode"`
}

// wireRequest is the body of a request.
type wireRequest struct {
	Request  json.RawMessage `json:"request"`
	Deadline *int64          `json:"deadline-ms"`
	Ticket   string          `json:"ticket"`
}

type wireTicket struct {
	Ticket string `json:"ticket"`
}

type wireError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// wireRefusal is the response to a request that was not run. RetryAfter is in milliseconds.
type wireRefusal struct {
	Outcome    string    `json:"outcome"`
	Error      wireError `json:"error"`
	RetryAfter int       `json:"retry-after-ms,omitempty"`
}

type wirePartition struct {
	Service   string `json:"service"`
	Partition string `json:"partition"`
}

// wireUncovered is a partition that the results don't cover, and the reason.
type wireUncovered struct {
	Service   string `json:"service"`
	Partition string `json:"partition"`
	Reason    string `json:"reason"`
}

// wireAnswer is the response to a search.
type wireAnswer struct {
	Generation     uint64            `json:"generation"`
	Complete       bool              `json:"complete"`
	MinimumReached bool              `json:"minimum-reached"`
	Covered        []wirePartition   `json:"covered"`
	Uncovered      []wireUncovered   `json:"uncovered"`
	Results        []json.RawMessage `json:"results"`
	Hedges         int               `json:"hedges"`
	Retries        int               `json:"retries"`
}

// toWireAnswer converts a for the response. Its lists are never nil, so that they are encoded as []
// and not as null.
func toWireAnswer(a *scatterer.Answer) wireAnswer {
	w := wireAnswer{
		Generation:     a.Generation,
		Complete:       a.Complete(),
		MinimumReached: a.MinimumReached,
		Covered:        make([]wirePartition, 0, len(a.Covered)),
		Uncovered:      make([]wireUncovered, 0, len(a.Uncovered)),
		Results:        make([]json.RawMessage, 0, len(a.Results)),
		Hedges:         a.Hedges,
		Retries:        a.Retries,
	}
	for _, p := range a.Covered {
		w.Covered = append(w.Covered, wirePartition(p))
	}
	for _, m := range a.Uncovered {
		w.Uncovered = append(w.Uncovered, wireUncovered{m.Service, m.Partition, m.Reason})
	}
	for _, r := range a.Results {
		w.Results = append(w.Results, r)
	}
	return w
}

// decoding limits the bodies that are decoded at once, as each of them needs several times its size meanwhile.
var decoding = make(chan struct{}, runtime.GOMAXPROCS(0))

// decode decodes one JSON object into out. Unknown keys and trailing data are errors.
func decode(body []byte, out any) error {
	decoding <- struct{}{}
	defer func() { <-decoding }()
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return errors.New("body is not the expected JSON object: " + err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return errors.New("body has data after the JSON object")
	}
	return nil
}
