package main

import (
	"context"
	"encoding/json"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

func requestCommand() *cli.Command {
	return &cli.Command{
		Name:      "request",
		Usage:     "send a non-idempotent request; exits 0 if it ran, 4 if it did not, 5 if that is unknown",
		ArgsUsage: "SERVICE [REQUEST-AS-JSON]",
		Flags:     callerFlags(&cli.StringFlag{Name: "ticket", Usage: "ticket of an earlier attempt; without it, a new one is fetched"}),
		Action:    request,
	}
}

type requestBody struct {
	Request  json.RawMessage `json:"request"`
	Deadline int64           `json:"deadline-ms"`
	Ticket   string          `json:"ticket"`
}

type requestAnswer struct {
	Outcome string            `json:"outcome"`
	Code    string            `json:"code"`
	Results []json.RawMessage `json:"results"`
	Ticket  string            `json:"ticket"`
}

func request(_ context.Context, c *cli.Command) error {
	in := requestBody{Deadline: c.Duration("deadline").Milliseconds(), Ticket: c.String("ticket")}
	var err error
	if in.Request, err = jsonArgument(c, 1); err != nil || c.Args().First() == "" {
		return oops.Errorf("usage: ebonylock request SERVICE [REQUEST-AS-JSON]")
	}
	if in.Ticket == "" {
		if in.Ticket, err = fetchTicket(c); err != nil {
			return err
		}
	}
	body, err := json.Marshal(in)
	if err != nil {
		return oops.Wrap(err)
	}
	_, raw, err := call(fasthttp.MethodPost, c.String("callers"), "/v1/request/"+c.Args().First(), "", body, c.Duration("deadline")+answerGrace)
	if err != nil {
		return err
	}
	return printRequest(c, in.Ticket, raw)
}

func fetchTicket(c *cli.Command) (string, error) {
	_, raw, err := call(fasthttp.MethodPost, c.String("callers"), "/v1/ticket", "", nil, operatorTimeout)
	if err != nil {
		return "", err
	}
	var a requestAnswer
	if err := json.Unmarshal(raw, &a); err != nil {
		return "", oops.Wrapf(err, "decode ticket")
	}
	return a.Ticket, nil
}

// printRequest prints the outcome of a request. It returns an exitError if the request did not
// run or its outcome is unknown.
func printRequest(c *cli.Command, ticket string, raw []byte) error {
	w := c.Root().Writer
	var a requestAnswer
	if err := json.Unmarshal(raw, &a); err != nil {
		return oops.Wrapf(err, "decode answer")
	}
	if c.Bool("json") {
		printLine(w, "%s", raw)
	} else {
		printLine(w, "outcome: %s %s", a.Outcome, a.Code)
		for _, r := range a.Results {
			printLine(w, "%s", r)
		}
	}
	switch a.Outcome {
	case "done":
		return nil
	case "not-run":
		return exitError(exitNotRun)
	}
	if !c.Bool("json") {
		printLine(w, "ask again with --ticket %s", ticket)
	}
	return exitError(exitUnknown)
}
