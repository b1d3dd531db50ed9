// Package hedge decides when a call whose answer is overdue is sent again, beside the earlier
// attempts: these may still be answered, if the network or this process is slow, or never, if
// their connections have gone silent.
package hedge
