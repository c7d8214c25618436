package command

import (
	"context"
	"net"
	"net/http"
)

// identity describes the sender of a request.
type identity struct {
	// name is the common name in the verified client certificate; empty without one.
	name string
	// trusted is set if the sender has a verified certificate or a loopback address.
	trusted bool
	address string
}

type identityKey struct{}

// withIdentity adds the identity of the sender to the context of each request.
// Without mutual TLS, only processes on the same machine are trusted.
func withIdentity(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := identity{address: r.RemoteAddr}
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			id.trusted, id.name = true, r.TLS.VerifiedChains[0][0].Subject.CommonName
		} else {
			id.trusted = isLoopback(r.RemoteAddr)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func identityFrom(ctx context.Context) identity {
	id, _ := ctx.Value(identityKey{}).(identity)
	return id
}

// actor returns the name to record with a command: the verified name in the
// certificate, or the stated name marked as local, because it is not verified.
func (id identity) actor(stated string) string {
	if id.name != "" {
		return id.name
	}
	if stated == "" {
		return "local"
	}
	return stated + " (local)"
}
