//! An estimate of one server's prefix cache, from what this router recently sent there.

use std::collections::BTreeMap;

/// A prefix is taken as cached for this many seconds (the design's default).
pub const TTL_SECS: f64 = 20.0;
/// Prefixes remembered per server at most, so that keys made up by clients cannot exhaust memory.
pub const MAX_ENTRIES: usize = 4_096;

/// Prefixes that one server probably has in its cache.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    /// By key: cached tokens, and when they were recorded (seconds).
    prefixes: BTreeMap<u64, (f64, f64)>,
    sweep_at: f64,
}

impl PrefixCache {
    /// How many of a prefix's first `length` tokens are probably cached, at a time in seconds.
    pub fn cached_tokens(&self, now: f64, key: Option<u64>, length: f64) -> f64 {
        match key.and_then(|key| self.prefixes.get(&key)) {
            Some((tokens, at)) if now - at <= TTL_SECS => tokens.min(length),
            _ => 0.0,
        }
    }

    /// Records that `tokens` of a prefix are cached from now on. A full table takes no new prefix. Expired entries are
    /// removed once a second at most.
    pub fn record(&mut self, now: f64, key: Option<u64>, tokens: f64) {
        let Some(key) = key else { return };
        if now >= self.sweep_at {
            self.prefixes.retain(|_, (_, at)| now - *at <= TTL_SECS);
            self.sweep_at = now + 1.0;
        }
        if self.prefixes.len() < MAX_ENTRIES || self.prefixes.contains_key(&key) {
            self.prefixes.insert(key, (tokens, now));
        }
    }

    /// The most tokens that are probably cached of any of these prefixes, each with its length.
    pub fn longest_match(&self, now: f64, prefixes: &[(Option<u64>, f64)]) -> f64 {
        prefixes.iter().map(|(key, length)| self.cached_tokens(now, *key, *length)).fold(0.0, f64::max)
    }

    /// Records that all of these prefixes are cached from now on, each with its length.
    pub fn record_all(&mut self, now: f64, prefixes: &[(Option<u64>, f64)]) {
        prefixes.iter().for_each(|(key, tokens)| self.record(now, *key, *tokens));
    }

    /// Drops what was recorded before `time`: the server lost it.
    pub fn forget_before(&mut self, time: f64) {
        self.prefixes.retain(|_, (_, at)| *at >= time);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn prefixes_expire_and_their_number_is_bounded() {
        let mut cache = PrefixCache::default();
        cache.record(1.0, Some(7), 100.0);
        assert_eq!(cache.cached_tokens(20.0, Some(7), 500.0), 100.0);
        assert_eq!(cache.cached_tokens(20.0, Some(7), 30.0), 30.0);
        assert_eq!(
            (cache.cached_tokens(22.0, Some(7), 500.0), cache.cached_tokens(2.0, None, 500.0)),
            (0.0, 0.0)
        );
        (0..10_000).for_each(|key| cache.record(2.0, Some(key), 1.0));
        assert_eq!(cache.prefixes.len(), MAX_ENTRIES);
        cache.record(30.0, Some(1), 1.0);
        assert_eq!(cache.prefixes.len(), 1, "expired prefixes are removed");
        cache.forget_before(31.0);
        assert!(cache.prefixes.is_empty());
    }
}
