package pool

// Proof is how the end of a run is known.
type Proof string

// The proofs of an end.
const (
	ProofListed   Proof = "listed"   // the server lists the end
	ProofStopped  Proof = "stopped"  // the server lists neither the run nor its end after the time that it takes to stop
	ProofMissing  Proof = "missing"  // the server lists neither, and can't start the run any more
	ProofBorn     Proof = "born"     // another process of the server runs, by its lists
	ProofReplaced Proof = "replaced" // another server answers at the address
	ProofLease    Proof = "lease"    // the lease is over
	ProofRejected Proof = "rejected" // no order was carried out
	ProofNone     Proof = "none"     // the end is unknown
)
