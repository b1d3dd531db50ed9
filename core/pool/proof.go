package pool

// Proof is how the end of a run is known.
type Proof string

// The proofs of an end.
const (
	ProofListed   Proof = "listed"   // the server lists the end
	ProofMissing  Proof = "missing"  // the server lists neither the run nor its end
	ProofBorn     Proof = "born"     // another process of the server runs, by its lists or its entry
	ProofReplaced Proof = "replaced" // another server answers at the address
	ProofLease    Proof = "lease"    // the lease is over
	ProofRejected Proof = "rejected" // no order was carried out
	ProofNone     Proof = "none"     // the end is unknown
)
