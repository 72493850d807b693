//! What becomes of single calls at servers that are otherwise well: drawn for each call, by the plan's shares.

use rand::RngExt as _;
use std::time::Duration;

/// Shares are in parts of this.
const WHOLE: u32 = 1_000;
/// A call that was taken is refused, or its connection reset, this late.
const LATE_MS: std::ops::Range<u64> = 600..1_100;
/// A slow call takes so much longer.
const SLOWER_MS: std::ops::Range<u64> = 100..1_500;
/// A release is worked on this late.
const LATE_RELEASE_MS: std::ops::Range<u64> = 10..150;

/// What becomes of a request that a running server took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFate {
    /// It is answered.
    Answered,
    /// Nothing: "workers that hang in the middle of their work".
    Hangs,
    /// Its connection is reset after this time: "resets under requests that have begun, also long after".
    Reset(Duration),
    /// It is turned away after this time: "queue full, draining, too many connections".
    Refused(Duration),
    /// It is answered so much later.
    Slow(Duration),
    /// Its stream breaks off, or a read ends well and its connection breaks: "a read may have ended well at the very
    /// moment its connection was closed or broke".
    AnswerLost,
}

/// What becomes of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseFate {
    /// It is done and answered.
    Answered,
    /// The same, after this time.
    Late(Duration),
    /// It is done, and nobody says so.
    Unanswered,
    /// It is not done, and its connection is reset.
    Reset,
}

impl CallFate {
    /// The fate of one call, where so many of a thousand fail.
    pub fn draw(chance: &mut impl rand::Rng, per_mille: u32) -> Self {
        if chance.random_range(0..WHOLE) >= per_mille {
            return CallFate::Answered;
        }
        let late = Duration::from_millis(chance.random_range(LATE_MS));
        match chance.random_range(0..5) {
            0 => CallFate::Hangs,
            1 => CallFate::Reset(late),
            2 => CallFate::Refused(late),
            3 => CallFate::Slow(Duration::from_millis(chance.random_range(SLOWER_MS))),
            _ => CallFate::AnswerLost,
        }
    }

    /// A call that is reset after some time.
    pub fn reset_late(chance: &mut impl rand::Rng) -> Self {
        CallFate::Reset(Duration::from_millis(chance.random_range(LATE_MS)))
    }

    /// A call that is turned away after some time.
    pub fn refused_late(chance: &mut impl rand::Rng) -> Self {
        CallFate::Refused(Duration::from_millis(chance.random_range(LATE_MS)))
    }
}

impl ReleaseFate {
    /// The fate of one release, where so many of a thousand fail.
    pub fn draw(chance: &mut impl rand::Rng, per_mille: u32) -> Self {
        if chance.random_range(0..WHOLE) >= per_mille {
            return ReleaseFate::Answered;
        }
        match chance.random_range(0..3) {
            0 => ReleaseFate::Late(Duration::from_millis(chance.random_range(LATE_RELEASE_MS))),
            1 => ReleaseFate::Unanswered,
            _ => ReleaseFate::Reset,
        }
    }
}
