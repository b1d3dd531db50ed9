// Package host is the plug-in for what identifies this process: its random
// incarnation, its failure domain and the key that signs tickets.
package host
