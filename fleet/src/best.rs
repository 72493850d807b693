//! The best of several that were scored.

/// The one with the highest score, the last of those that are equal; none of none.
pub fn best<T>(scored: impl Iterator<Item = (T, f64)>) -> Option<(T, f64)> {
    scored.max_by(|a, b| a.1.total_cmp(&b.1))
}
