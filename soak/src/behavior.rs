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
pub enum CallBehavior {
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
pub enum ReleaseBehavior {
    /// It is done and answered.
    Answered,
    /// The same, after this time.
    Late(Duration),
    /// It is done, and nobody says so.
    Unanswered,
    /// It is not done, and its connection is reset.
    Reset,
}

impl CallBehavior {
    /// The fate of one call, where so many of a thousand fail.
    pub fn draw(rng: &mut impl rand::Rng, per_mille: u32) -> Self {
        if rng.random_range(0..WHOLE) >= per_mille {
            return CallBehavior::Answered;
        }
        let late = Duration::from_millis(rng.random_range(LATE_MS));
        match rng.random_range(0..5) {
            0 => CallBehavior::Hangs,
            1 => CallBehavior::Reset(late),
            2 => CallBehavior::Refused(late),
            3 => CallBehavior::Slow(Duration::from_millis(rng.random_range(SLOWER_MS))),
            _ => CallBehavior::AnswerLost,
        }
    }

    /// A call that is reset after some time.
    pub fn reset_late(rng: &mut impl rand::Rng) -> Self {
        CallBehavior::Reset(Duration::from_millis(rng.random_range(LATE_MS)))
    }

    /// A call that is turned away after some time.
    pub fn refused_late(rng: &mut impl rand::Rng) -> Self {
        CallBehavior::Refused(Duration::from_millis(rng.random_range(LATE_MS)))
    }
}

impl ReleaseBehavior {
    /// The fate of one release, where so many of a thousand fail.
    pub fn draw(rng: &mut impl rand::Rng, per_mille: u32) -> Self {
        if rng.random_range(0..WHOLE) >= per_mille {
            return ReleaseBehavior::Answered;
        }
        match rng.random_range(0..3) {
            0 => ReleaseBehavior::Late(Duration::from_millis(rng.random_range(LATE_RELEASE_MS))),
            1 => ReleaseBehavior::Unanswered,
            _ => ReleaseBehavior::Reset,
        }
    }
}
