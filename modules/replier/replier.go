// Package replier writes JSON responses to HTTP requests.
package replier

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// JSON responds with status and v encoded as JSON, or with status 500 if v cannot be encoded.
func JSON(ctx *fasthttp.RequestCtx, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error("encoding failed", fasthttp.StatusInternalServerError)
		return
	}
	Raw(ctx, status, body)
}

// Raw responds with status and a body that is already encoded as JSON.
func Raw(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
