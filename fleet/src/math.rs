//! Hashing that gives the same numbers at every router, and interpolation.

/// Hashes a number (the finalizer of SplitMix64).
pub fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Hashes a number to the range from 0 to 1.
pub fn fraction(x: u64) -> f64 {
    mix(x) as f64 / u64::MAX as f64
}

/// Weighted mean of an old and a new value; `weight` is that of the new one (one EWMA step).
pub fn blend(old: f64, new: f64, weight: f64) -> f64 {
    old + weight * (new - old)
}
