// Package peer is the plug-in for the links between hosts, which carry CBOR frames over
// WebSocket.
//
// A link is dialed on first use and multiplexes any number of concurrent calls, each
// identified by a number. A link whose peer stops answering while a call is pending is
// closed, so that a frozen host can't block its callers.
package peer
