package main

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// answerGrace is the time to wait for an answer after the deadline of its request.
const answerGrace = 2 * time.Second

func queryCommand() *cli.Command {
	return &cli.Command{
		Name:      "query",
		Usage:     "send a search; exits 0 for a complete answer, 3 for a partial one, 4 for a refusal",
		ArgsUsage: "SEARCH [QUERY-AS-JSON]",
		Flags: callerFlags(
			&cli.StringFlag{Name: "mode", Usage: "fast or full; the default comes from the intent"},
			&cli.FloatFlag{Name: "min-coverage", Usage: "minimum share of partitions to cover; the default comes from the intent"},
		),
		Action: query,
	}
}

type searchBody struct {
	Query       json.RawMessage `json:"query"`
	Deadline    int64           `json:"deadline-ms"`
	Mode        string          `json:"mode,omitempty"`
	MinCoverage *float64        `json:"min-coverage,omitempty"`
}

type searchAnswer struct {
	Generation     uint64               `json:"generation"`
	Complete       bool                 `json:"complete"`
	MinimumReached bool                 `json:"minimum-reached"`
	Covered        []json.RawMessage    `json:"covered"`
	Uncovered      []uncoveredPartition `json:"uncovered"`
	Results        []json.RawMessage    `json:"results"`
}

type uncoveredPartition struct {
	Service   string `json:"service"`
	Partition string `json:"partition"`
	Reason    string `json:"reason"`
}

// jsonArgument returns argument i as JSON, or an empty object if there is none.
func jsonArgument(c *cli.Command, i int) (json.RawMessage, error) {
	text := c.Args().Get(i)
	if text == "" {
		text = "{}"
	}
	if !json.Valid([]byte(text)) {
		return nil, oops.Errorf("%q is not JSON", text)
	}
	return json.RawMessage(text), nil
}

func query(_ context.Context, c *cli.Command) error {
	q, err := jsonArgument(c, 1)
	if err != nil || c.Args().First() == "" {
		return oops.Errorf("usage: ebonylock query SEARCH [QUERY-AS-JSON]")
	}
	in := searchBody{Query: q, Deadline: c.Duration("deadline").Milliseconds(), Mode: c.String("mode")}
	if c.IsSet("min-coverage") {
		v := c.Float("min-coverage")
		in.MinCoverage = &v
	}
	body, err := json.Marshal(in)
	if err != nil {
		return oops.Wrap(err)
	}
	status, raw, err := call(fasthttp.MethodPost, c.String("callers"), "/v1/search/"+c.Args().First(), "", body, c.Duration("deadline")+answerGrace)
	if err != nil {
		return err
	}
	return printSearch(c, status, raw)
}

// printSearch prints the answer to a search. It returns an exitError if the search was refused or
// its answer is partial.
func printSearch(c *cli.Command, status int, raw []byte) error {
	w := c.Root().Writer
	if c.Bool("json") {
		printLine(w, "%s", raw)
	}
	if status != fasthttp.StatusOK {
		if !c.Bool("json") {
			printLine(os.Stderr, "%s", raw)
		}
		return exitError(exitNotRun)
	}
	var a searchAnswer
	if err := json.Unmarshal(raw, &a); err != nil {
		return oops.Wrapf(err, "decode answer")
	}
	if !c.Bool("json") {
		printLine(w, "generation %d: %d partitions covered, %d not, %d results", a.Generation, len(a.Covered), len(a.Uncovered), len(a.Results))
		for _, m := range a.Uncovered {
			printLine(w, "not covered: %s %s (%s)", m.Service, m.Partition, m.Reason)
		}
		for _, r := range a.Results {
			printLine(w, "%s", r)
		}
	}
	if !a.Complete {
		return exitError(exitIncomplete)
	}
	return nil
}
