// Package explore searches the states that a small world of models can reach, by the
// interleavings of its events, for one that breaks a rule.
//
// In each state one event is the usual one: answers arrive promptly and in order, and then
// time passes. All others are deviations: an order or an answer that is late, lost or
// repeated, a fault, a decision of the caller. Search goes through all paths with the fewest
// deviations first, so the path to a broken rule that it returns has as few as possible. A
// state whose hash was seen before is not explored again. The models can't be copied, so a
// state is reached by replaying its path.
//
// PoolWorld is one home that owns two backend servers and runs a job of one task, with the
// real core/pool. The servers do all that their interface allows. Time passes in steps as long
// as a call waits for its answer; a lease is three of them.
//
// HomesWorld is two homes that coordinate jobs with the real core/schedule, and a caller that
// submits a job of one task to one of them, leaves, and submits it again to the other one. Frames
// between the homes arrive, are late or lost; the homes are cut off from each other, freeze or die.
package explore
