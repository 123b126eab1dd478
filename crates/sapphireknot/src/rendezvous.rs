//! Weighted rendezvous hashing: all participants rank the same candidates identically without communication.

/// Returns the uniform pseudo-random number in the open interval (0, 1) for `seed` and a candidate's `hash`.
pub(crate) fn rendezvous_draw(seed: u64, hash: u64) -> f64 {
    // The SplitMix64 finalizer mixes every bit of both hashes into all bits of the result.
    let hash = seed ^ hash;
    let hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    let hash = hash ^ (hash >> 31);
    // The upper 53 bits yield a uniform number whose logarithm is finite and negative.
    ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// Returns the score of a candidate; each candidate has the highest score with a probability proportional to its
/// weight.
pub(crate) fn rendezvous_score(uniform: f64, weight: u32) -> u64 {
    let score = f64::from(weight) / -uniform.ln();
    // The bit patterns of non-negative floats have the same order as the floats.
    score.to_bits()
}
