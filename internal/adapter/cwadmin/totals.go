package cwadmin

import (
	"github.com/valyala/fasthttp"

	"currantward/internal/adapter/cwcodec"
	"currantward/internal/base/cwfault"
	"currantward/internal/base/cwhttp"
)

// Query parameters of a totals request.
const (
	ArgDay    = "day"
	ArgFormat = "format" // csv or json
)

func (a *admin) getTotals(c call) {
	format := string(c.QueryArgs().Peek(ArgFormat))
	if format != "" && format != "json" && format != "csv" {
		cwhttp.WriteError(c.RequestCtx, cwfault.New(cwfault.Invalid, "format: %q is neither csv nor json", format))
		return
	}
	day, err := a.opts.Totals(c, string(c.QueryArgs().Peek(ArgDay)))
	if err != nil {
		cwhttp.WriteError(c.RequestCtx, err)
		return
	}
	document := cwcodec.TotalsOf(day)
	if format != "csv" {
		cwhttp.WriteJSON(c.RequestCtx, fasthttp.StatusOK, document)
		return
	}
	c.SetContentType("text/csv; charset=utf-8; header=present")
	c.SetBody(document.CSV())
}
