package command

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lacewingturn.example/core/result"
)

// response is the response to a caller: either that of a target or a refusal by
// this entry instance.
type response struct {
	result     result.Result
	outcome    result.Outcome
	retryAfter time.Duration
	status     int // HTTP status from the target; 0 for a refusal
	header     http.Header
	body       []byte
	stream     *stream // rest of a response too long to buffer; nil if body is complete
}

func refusal(r result.Result, retryAfter time.Duration) response {
	return response{result: r, outcome: r.Code.Info().Outcome, retryAfter: retryAfter}
}

// refusalBody is the JSON body of a response that did not come from a target.
type refusalBody struct {
	Code    result.Code `json:"code"`
	Name    string      `json:"name"`
	Outcome string      `json:"outcome"`
	Detail  string      `json:"detail"`
}

// write sends the response to the caller.
func (a response) write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set(HeaderResult, strconv.Itoa(int(a.result.Code)))
	h.Set(HeaderOutcome, a.outcome.String())
	if a.status == 0 {
		return a.writeRefusal(w)
	}
	for k, values := range a.header {
		if !hopByHop(k) && !strings.HasPrefix(k, "Lacewingturn-") {
			h[k] = values
		}
	}
	if a.stream != nil {
		return a.stream.copy(w, a.status, a.body)
	}
	if len(a.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	return err
}

func (a response) writeRefusal(w http.ResponseWriter) error {
	info := a.result.Code.Info()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if a.retryAfter > 0 {
		seconds := (a.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(info.HTTP)
	return json.NewEncoder(w).Encode(refusalBody{
		Code: a.result.Code, Name: info.Name, Outcome: a.outcome.String(), Detail: a.result.Detail,
	})
}

// hopByHop reports whether a header applies to a single connection and must not
// be forwarded.
func hopByHop(key string) bool {
	switch key {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}
