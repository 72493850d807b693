//! Choice by score.

/// The item with the highest score; the last one on a tie, `None` if there are no items.
pub fn best<T>(scored: impl Iterator<Item = (T, f64)>) -> Option<(T, f64)> {
    scored.max_by(|a, b| a.1.total_cmp(&b.1))
}
