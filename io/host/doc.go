// Package host is the plug-in that provides the identity of this process: its random
// incarnation, its failure domain and the key that signs tickets.
package host
