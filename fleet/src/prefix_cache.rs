//! The texts that one server is believed to keep, and how much of them: what was sent there of late.

use std::collections::BTreeMap;

/// A kept text is believed in for so many seconds (the design's default).
pub const TTL_SECS: f64 = 20.0;
/// Texts remembered of one server, so that keys that clients make up fill no memory.
pub const MAX_ENTRIES: usize = 4_096;

/// Tokens believed to be kept, by text, and since when.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    texts: BTreeMap<u64, (f64, f64)>,
    sweep_at: f64,
}

impl PrefixCache {
    /// Of a text's first `most` tokens the ones believed to be kept, at a time in seconds.
    pub fn cached_tokens(&self, now: f64, key: Option<u64>, most: f64) -> f64 {
        match key.and_then(|key| self.texts.get(&key)) {
            Some((tokens, at)) if now - at <= TTL_SECS => tokens.min(most),
            _ => 0.0,
        }
    }

    /// So many tokens of a text are kept from now on. A full table takes no new text; it is swept once in a second at
    /// most, and where it is full.
    pub fn record(&mut self, now: f64, key: Option<u64>, tokens: f64) {
        let Some(key) = key else { return };
        if now >= self.sweep_at {
            self.texts.retain(|_, (_, at)| now - *at <= TTL_SECS);
            self.sweep_at = now + 1.0;
        }
        if self.texts.len() < MAX_ENTRIES || self.texts.contains_key(&key) {
            self.texts.insert(key, (tokens, now));
        }
    }

    /// The most tokens believed to be kept of any of these texts, each with its length.
    pub fn longest_match(&self, now: f64, texts: &[(Option<u64>, f64)]) -> f64 {
        texts.iter().map(|(key, most)| self.cached_tokens(now, *key, *most)).fold(0.0, f64::max)
    }

    /// All of these texts are kept from now on.
    pub fn record_all(&mut self, now: f64, texts: &[(Option<u64>, f64)]) {
        texts.iter().for_each(|(key, tokens)| self.record(now, *key, *tokens));
    }

    /// The server forgot what it was sent before this time.
    pub fn forget_before(&mut self, time: f64) {
        self.texts.retain(|_, (_, at)| *at >= time);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn texts_are_believed_in_for_a_time_and_within_a_bound() {
        let mut kept = PrefixCache::default();
        kept.record(1.0, Some(7), 100.0);
        assert_eq!(kept.cached_tokens(20.0, Some(7), 500.0), 100.0);
        assert_eq!(kept.cached_tokens(20.0, Some(7), 30.0), 30.0);
        assert_eq!(
            (kept.cached_tokens(22.0, Some(7), 500.0), kept.cached_tokens(2.0, None, 500.0)),
            (0.0, 0.0)
        );
        (0..10_000).for_each(|key| kept.record(2.0, Some(key), 1.0));
        assert_eq!(kept.texts.len(), MAX_ENTRIES);
        kept.record(30.0, Some(1), 1.0);
        assert_eq!(kept.texts.len(), 1, "what is believed in no more is swept");
        kept.forget_before(31.0);
        assert!(kept.texts.is_empty());
    }
}
