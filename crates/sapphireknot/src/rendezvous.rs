//! Rendezvous hashing: every participant ranks the same candidates alike without exchanging messages.

/// Number strictly between 0 and 1 that a candidate with the hash `hash` draws for `seed`.
pub(crate) fn rendezvous_draw(seed: u64, hash: u64) -> f64 {
    // The finalizer of SplitMix64 spreads every bit of both hashes over the whole number.
    let hash = seed ^ hash;
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let hash = hash ^ (hash >> 31);
    // The upper 53 bits give a uniform number whose logarithm is finite and negative.
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Score whose maximum falls on each candidate in proportion to its weight.
pub(crate) fn rendezvous_score(uniform: f64, weight: u32) -> u64 {
    let score = f64::from(weight) / -uniform.ln();
    // The bits of non-negative floats are ordered like the floats.
    score.to_bits()
}
