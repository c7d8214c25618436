package command

import (
	"errors"
	"hash/fnv"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"lacewingturn.example/core/model"
	"lacewingturn.example/core/result"
	"lacewingturn.example/entry/query"
	"lacewingturn.example/node/server"
)

// Headers of caller requests and their answers.
const (
	HeaderCaller  = "Lacewingturn-Caller"
	HeaderKey     = "Idempotency-Key"
	HeaderTimeout = "Lacewingturn-Timeout-Ms"
	HeaderResult  = "Lacewingturn-Result"
	HeaderOutcome = "Lacewingturn-Outcome"
	// HeaderSlot identifies the slot that a request occupies. In its heartbeats a
	// target lists the slots of the requests that it is running.
	HeaderSlot = "Lacewingturn-Slot"
)

// MaxBody is the longest request body in bytes, and the longest response body
// that is buffered; a longer response is streamed.
const MaxBody = 1 << 20

// DefaultTimeout applies to a service whose configuration sets no timeout.
const DefaultTimeout = 30 * time.Second

// MaxTimeout caps the timeout that a caller sets with HeaderTimeout.
const MaxTimeout = 15 * time.Minute

// call is one request of a caller.
type call struct {
	service       model.Service
	caller        model.CallerID
	key           model.RequestID
	method        string
	path          string // below the service, with a leading slash
	rawPath       string // the same, escaped
	query         string
	header        http.Header
	body          []byte
	idempotent    bool
	deadline      time.Time
	newConnection bool   // do not reuse an idle connection
	release       func() // cancels the context of the call
}

// readCall reads and validates a request. If the result is not OK, the request
// is refused with it.
func readCall(v *query.View, r *http.Request, now time.Time) (*call, result.Result) {
	name := model.ServiceName(mux.Vars(r)["service"])
	service, ok := v.Services[name]
	if !ok {
		return nil, result.New(result.ServiceUnknown, "there is no service %q", name)
	}
	c := &call{
		service: service, caller: model.CallerID(r.Header.Get(HeaderCaller)), key: model.RequestID(r.Header.Get(HeaderKey)),
		method: r.Method, rawPath: pathBelow(r.URL.EscapedPath()), query: r.URL.RawQuery, header: r.Header,
	}
	path, err := url.PathUnescape(c.rawPath)
	if err != nil {
		return nil, result.New(result.InvalidInput, "path: %v", err)
	}
	c.path = path
	if !model.ValidName(string(c.caller)) {
		return nil, result.New(result.InvalidInput, "%s: is no readable text of at most %d bytes", HeaderCaller, model.MaxNameBytes)
	}
	if c.caller == "" {
		c.caller = "anonymous"
	}
	timeout, err := timeoutOf(service, r.Header.Get(HeaderTimeout))
	if err != nil {
		return nil, result.New(result.InvalidInput, "%s: %v", HeaderTimeout, err)
	}
	c.deadline = now.Add(timeout)
	c.idempotent = isIdempotent(service, c.method, c.path)
	if _, ok := model.IssuedAt(c.key); !ok && !c.idempotent {
		return nil, result.New(result.KeyRequired, "%s %s is not idempotent and needs an %s header with a lower-case UUIDv7, got %q", c.method, c.path, HeaderKey, c.key)
	}
	return c, c.readBody(r)
}

// readBody buffers the body, because the fingerprint of a claim covers it and a
// retry sends it again.
func (c *call) readBody(r *http.Request) result.Result {
	if r.Body == nil || r.Body == http.NoBody {
		return result.Result{}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, MaxBody))
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return result.New(result.BodyTooLarge, "the body is longer than %d bytes", MaxBody)
	}
	if errors.Is(err, server.ErrOverBudget) {
		return result.New(result.Overloaded, "%v", err)
	}
	if err != nil {
		return result.New(result.InvalidInput, "the body ended early: %v", err)
	}
	c.body = body
	return result.Result{}
}

// fingerprint returns a hash that distinguishes different requests sent with the
// same idempotency key.
func (c *call) fingerprint() uint64 {
	h := fnv.New64a()
	for _, part := range []string{c.method, string(c.service.Name), c.rawPath, c.query} {
		_, _ = io.WriteString(h, part)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return h.Sum64()
}

func timeoutOf(s model.Service, header string) (time.Duration, error) {
	if header == "" {
		if s.Timeout > 0 {
			return s.Timeout, nil
		}
		return DefaultTimeout, nil
	}
	ms, err := strconv.ParseUint(header, 10, 32)
	if err != nil || ms == 0 {
		return 0, errors.New("must be a positive number of milliseconds")
	}
	return min(time.Duration(ms)*time.Millisecond, MaxTimeout), nil
}

// pathBelow strips the prefix /services/{service} from an escaped path.
func pathBelow(escaped string) string {
	rest := strings.TrimPrefix(escaped, "/services/")
	if i := strings.IndexByte(rest, '/'); i >= 0 {
		return rest[i:]
	}
	return "/"
}

func isIdempotent(s model.Service, method, path string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return !anyPrefix(path, s.NonIdempotent)
	}
	return anyPrefix(path, s.Idempotent) && !anyPrefix(path, s.NonIdempotent)
}

// anyPrefix reports whether path equals or lies below one of the prefixes. It
// compares whole path segments, so that /quote does not match /quotes.
func anyPrefix(path string, prefixes []string) bool {
	for _, p := range prefixes {
		p = strings.TrimSuffix(p, "/")
		if path == p || strings.HasPrefix(path, p+"/") {
			return true
		}
	}
	return false
}
