// Package speed estimates how fast backend servers are relative to each other, by how long
// runs take there compared with their predictions. It has no clock of its own: the time of
// each run is passed in.
package speed
