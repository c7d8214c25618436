package command

import (
	"context"
	"net"
	"net/http"
)

// identity is who sent a request.
type identity struct {
	// name is that of the verified client certificate; empty without one.
	name string
	// trusted is set for a verified certificate and for a loopback address.
	trusted bool
	address string
}

type identityKey struct{}

// identify hands the identity of the sender to the handler. Without mutual TLS
// only processes on the same machine may change anything.
func identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := identity{address: r.RemoteAddr}
		if r.TLS != nil && len(r.TLS.VerifiedChains) > 0 {
			id.trusted, id.name = true, r.TLS.VerifiedChains[0][0].Subject.CommonName
		} else {
			id.trusted = loopback(r.RemoteAddr)
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), identityKey{}, id)))
	})
}

func loopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

func identityOf(ctx context.Context) identity {
	id, _ := ctx.Value(identityKey{}).(identity)
	return id
}

// actor is the name recorded with a change. The name in a certificate is
// verified; a name stated by a process on the same machine is marked as local.
func (id identity) actor(stated string) string {
	if id.name != "" {
		return id.name
	}
	if stated == "" {
		return "local"
	}
	return stated + " (local)"
}
