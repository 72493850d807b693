//! The pace at which a server takes connections of this router.

use crate::{Millis, Rules};

/// How servers warm up.
#[derive(Clone, Copy, Debug)]
pub struct Warmth {
    /// What a fresh one can do, of what a warm one can.
    pub cold_share: f64,
    /// It is warm after this time.
    pub cold: Millis,
}

pub(crate) fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A number from 0 to 1 that looks like chance.
pub(crate) fn fraction(x: u64) -> f64 {
    mix(x) as f64 / u64::MAX as f64
}

impl Rules {
    /// This router's part of what a server takes now, in connections a second.
    pub(crate) fn rate(&self, up_since: Option<Millis>, now: Millis) -> f64 {
        let age = up_since.map(|up| now.saturating_sub(up)).filter(|age| *age < self.warmth.cold);
        let cold = self.warmth.cold_share;
        let warm = age.map_or(1.0, |age| cold + (1.0 - cold) * age as f64 / self.warmth.cold as f64);
        self.warm_per_s * warm / f64::from(self.routers.max(1))
    }
}

/// A bucket as deep as one connection: a deeper one would let all routers send theirs at once.
#[derive(Clone, Copy, Default)]
pub(crate) struct Pace {
    /// From when on the next one may go; none before the first.
    next: Option<Millis>,
}

impl Pace {
    pub(crate) fn ready(&self, now: Millis, rate: f64) -> bool {
        rate > 0.0 && self.next.is_none_or(|next| next <= now)
    }

    pub(crate) fn spend(&mut self, now: Millis, rate: f64) {
        self.next = Some(now.saturating_add((1_000.0 / rate.max(1e-9)).ceil() as Millis));
    }
}
