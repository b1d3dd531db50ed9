// Package local reads this process's own addresses from its settings.
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

// Dialer returns a dialer whose connections come from this host's own IP
// number, so that others can tell the hosts apart.
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
