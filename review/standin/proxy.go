package main

import (
	"io"
	"net"
	"time"
)

// startProxy starts a proxy that holds back what its clients send for the delay and
// returns its address. A client that ends meanwhile does not stop what it has sent.
func startProxy(s *site, address, server string, delay time.Duration) string {
	l, err := net.Listen("tcp", address)
	if err != nil {
		fail("%v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				time.Sleep(delay)
				up, err := net.Dial("tcp", server)
				if err != nil {
					c.Close()
					return
				}
				s.rec.log("proxy: passes on a connection to %s after %s", server, delay)
				go func() { _, _ = io.Copy(up, c) }()
				_, _ = io.Copy(c, up)
				c.Close()
				up.Close()
			}()
		}
	}()
	return l.Addr().String()
}
