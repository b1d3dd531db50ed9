// Package local derives this process's own network addresses from its settings.
package local

import (
	"net"
	"time"

	"rosemarywalk/io/settings"
)

const (
	section   = "peer"
	keepAlive = 15 * time.Second
)

// PeerAddress returns the address at which other hosts reach this one.
func PeerAddress(s settings.Settings) string {
	if address := s.Text(section, "advertise"); address != "" {
		return address
	}
	return s.Text(section, "listen")
}

// Dialer returns a dialer that binds to this host's own IP address, so that the remote
// end can tell hosts apart.
func Dialer(s settings.Settings, timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{
		Timeout:   timeout,
		KeepAlive: keepAlive,
	}
	host, _, err := net.SplitHostPort(s.Text(section, "listen"))
	if ip := net.ParseIP(host); err == nil && ip != nil && !ip.IsUnspecified() {
		dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return dialer
}
