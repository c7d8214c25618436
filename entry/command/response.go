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
func (res response) write(w http.ResponseWriter) error {
	h := w.Header()
	h.Set(HeaderResult, strconv.Itoa(int(res.result.Code)))
	h.Set(HeaderOutcome, res.outcome.String())
	if res.status == 0 {
		return res.writeRefusal(w)
	}
	for k, values := range res.header {
		if !hopByHop(k) && !strings.HasPrefix(k, "Lacewingturn-") {
			h[k] = values
		}
	}
	if res.stream != nil {
		return res.stream.copy(w, res.status, res.body)
	}
	if len(res.body) > 0 {
		h.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	w.WriteHeader(res.status)
	_, err := w.Write(res.body)
	return err
}

func (res response) writeRefusal(w http.ResponseWriter) error {
	info := res.result.Code.Info()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if res.retryAfter > 0 {
		seconds := (res.retryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	w.WriteHeader(info.HTTP)
	return json.NewEncoder(w).Encode(refusalBody{
		Code: res.result.Code, Name: info.Name, Outcome: res.outcome.String(), Detail: res.result.Detail,
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
