package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"
)

// operatorTimeout is the timeout of a call to an operators' listener.
const operatorTimeout = 20 * time.Second

func jsonFlag() cli.Flag {
	return &cli.BoolFlag{Name: "json", Usage: "print JSON"}
}

func operatorFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:    "operators",
			Usage:   "`ADDRESS` of an entry VM's operators' listener",
			Sources: cli.EnvVars("EBONYLOCK_OPERATORS"),
			Value:   "127.0.0.1:7200",
		},
		&cli.StringFlag{
			Name:    "token",
			Usage:   "operator's `TOKEN`",
			Sources: cli.EnvVars("EBONYLOCK_TOKEN"),
		},
		jsonFlag(),
	}, extra...)
}

func callerFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{
			Name:    "callers",
			Usage:   "`ADDRESS` of an entry VM's callers' listener",
			Sources: cli.EnvVars("EBONYLOCK_CALLERS"),
			Value:   "127.0.0.1:7100",
		},
		&cli.DurationFlag{Name: "deadline", Usage: "time for the answer", Value: time.Second},
		jsonFlag(),
	}, extra...)
}

// call sends one HTTP request, without retries, and returns the status code and the body of
// the response.
func call(method, addr, path, token string, body []byte, timeout time.Duration) (int, []byte, error) {
	r := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(r)
	w := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(w)
	r.Header.SetMethod(method)
	r.SetRequestURI("http://" + addr + path)
	if token != "" {
		r.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	}
	if body != nil {
		r.Header.SetContentType("application/json")
		r.SetBody(body)
	}
	client := fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	if err := client.DoTimeout(r, w, timeout); err != nil {
		return 0, nil, oops.Wrapf(err, "HTTP request to %s", addr)
	}
	return w.StatusCode(), append([]byte(nil), w.Body()...), nil
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
	} `json:"error"`
}

// callOperator sends a request to the listener given by --operators. It decodes the body of a
// successful response into out, unless out is nil, and returns the undecoded body as well.
func callOperator(c *cli.Command, method, path string, body []byte, out any) ([]byte, error) {
	return callOperatorAt(c, c.String("operators"), method, path, body, out)
}

// callOperatorAt is callOperator for the operators' listener at addr.
func callOperatorAt(c *cli.Command, addr, method, path string, body []byte, out any) ([]byte, error) {
	status, raw, err := call(method, addr, path, c.String("token"), body, operatorTimeout)
	if err != nil {
		return nil, err
	}
	if status >= fasthttp.StatusBadRequest {
		return nil, operatorError(status, raw)
	}
	if out != nil {
		if err := json.Unmarshal(raw, out); err != nil {
			return nil, oops.Wrapf(err, "decode response of %s", addr)
		}
	}
	return raw, nil
}

// operatorError converts an error response to an error. It returns a refusalError for the codes
// that have an exit code of their own.
func operatorError(status int, raw []byte) error {
	var f errorBody
	if json.Unmarshal(raw, &f) != nil || f.Error.Code == "" {
		return oops.Errorf("status %d: %s", status, strings.TrimSpace(string(raw)))
	}
	switch f.Error.Code {
	case "conflict", "store-behind":
		return oops.Wrap(&refusalError{f.Error.Code, f.Error.Message, exitConflict})
	case "unknown-outcome":
		return oops.Wrap(&refusalError{f.Error.Code, f.Error.Message, exitUnknown})
	}
	return oops.Errorf("%s: %s", f.Error.Code, f.Error.Message)
}

// refusalError is an error response that has an exit code of its own.
type refusalError struct {
	code, message string
	exit          int
}

// Error returns the code and the message.
func (r *refusalError) Error() string {
	return r.code + ": " + r.message
}

func printLine(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}
