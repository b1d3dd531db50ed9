// Package config is the plug-in for the operators' document: it books changes
// in the platform's table, learns of them there or from peers, and puts each
// into force at its date.
package config
