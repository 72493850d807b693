//! Faults of single calls and releases at otherwise healthy servers, drawn by the plan's shares.

use rand::RngExt as _;
use std::time::Duration;

/// Shares are given per mille.
const PER_MILLE: u32 = 1_000;
/// Delay of a late rejection or reset.
const DELAY_MS: std::ops::Range<u64> = 600..1_100;
/// Additional time of a slow call.
const SLOWDOWN_MS: std::ops::Range<u64> = 100..1_500;
/// Delay of a late release.
const RELEASE_DELAY_MS: std::ops::Range<u64> = 10..150;

/// How a server handles a call that it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallBehavior {
    /// It answers.
    Answered,
    /// It never answers: "workers that hang in the middle of their work".
    Hangs,
    /// It resets the connection after this time: "resets under requests that have begun, also long after".
    Reset(Duration),
    /// It rejects the call after this time: "queue full, draining, too many connections".
    Rejected(Duration),
    /// It answers later by this time.
    Slow(Duration),
    /// Its stream breaks off, or it completes the read and resets the connection: "a read may have ended well at the
    /// very moment its connection was closed or broke".
    AnswerLost,
}

/// How a server handles a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseBehavior {
    /// It releases, and answers.
    Answered,
    /// It releases and answers after this time.
    Late(Duration),
    /// It releases, and does not answer.
    Unanswered,
    /// It does not release, and resets the connection.
    Reset,
}

impl CallBehavior {
    /// Draws the handling of a call; `per_mille` is the share of failing calls.
    pub fn draw(rng: &mut impl rand::Rng, per_mille: u32) -> Self {
        if rng.random_range(0..PER_MILLE) >= per_mille {
            return CallBehavior::Answered;
        }
        let delay = Duration::from_millis(rng.random_range(DELAY_MS));
        match rng.random_range(0..5) {
            0 => CallBehavior::Hangs,
            1 => CallBehavior::Reset(delay),
            2 => CallBehavior::Rejected(delay),
            3 => CallBehavior::Slow(Duration::from_millis(rng.random_range(SLOWDOWN_MS))),
            _ => CallBehavior::AnswerLost,
        }
    }

    /// A call whose connection is reset after a drawn delay.
    pub fn reset_late(rng: &mut impl rand::Rng) -> Self {
        CallBehavior::Reset(Duration::from_millis(rng.random_range(DELAY_MS)))
    }

    /// A call that is rejected after a drawn delay.
    pub fn rejected_late(rng: &mut impl rand::Rng) -> Self {
        CallBehavior::Rejected(Duration::from_millis(rng.random_range(DELAY_MS)))
    }
}

impl ReleaseBehavior {
    /// Draws the handling of a release; `per_mille` is the share of failing releases.
    pub fn draw(rng: &mut impl rand::Rng, per_mille: u32) -> Self {
        if rng.random_range(0..PER_MILLE) >= per_mille {
            return ReleaseBehavior::Answered;
        }
        match rng.random_range(0..3) {
            0 => ReleaseBehavior::Late(Duration::from_millis(rng.random_range(RELEASE_DELAY_MS))),
            1 => ReleaseBehavior::Unanswered,
            _ => ReleaseBehavior::Reset,
        }
    }
}
