// Package peer is the plug-in for links between hosts: CBOR over WebSocket.
//
// A link is dialed when it is first needed and carries any number of calls
// at once, told apart by number. A link that stays silent while a call is
// pending is closed, so a frozen host can't hold its callers.
package peer
