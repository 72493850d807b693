//! The records of a usage ledger.

use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// The client got the complete answer.
    Served,
    /// The request was refused.
    Refused,
    /// The request failed before its answer began.
    Failed,
    /// The answer began and broke off.
    Broken,
    /// The client disconnected.
    Left,
}

/// Token counts. In a correction they are added to those of the corrected entry and may be negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tokens {
    /// Tokens of the prompt.
    pub prompt: i64,
    /// Prompt tokens that the server took from its prefix cache.
    pub kept: i64,
    /// Tokens of the answer.
    pub written: i64,
}

impl std::ops::AddAssign for Tokens {
    fn add_assign(&mut self, other: Tokens) {
        self.prompt = self.prompt.saturating_add(other.prompt);
        self.kept = self.kept.saturating_add(other.kept);
        self.written = self.written.saturating_add(other.written);
    }
}

/// Identifies an entry across ledgers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryId {
    /// The router that wrote the entry.
    pub router: String,
    /// The entry's number in that router's ledger, from 1.
    pub number: u64,
}

/// A request with its final outcome, or a correction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The number in its ledger; numbers have no gaps.
    pub number: u64,
    /// The period in which the entry is counted.
    pub period: u64,
    /// The period of the request's arrival, if it was already closed when the entry was written.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_from: Option<u64>,
    /// A hash that is the same for a request and its retries.
    pub ask: u64,
    /// The request's id on the wire.
    pub label: String,
    /// The tenant; empty at sites without customers.
    pub tenant: String,
    /// The request's class.
    pub class: String,
    /// How the request ended.
    pub outcome: Outcome,
    /// The request exceeded the tenant's quota when it arrived.
    pub beyond: bool,
    /// The tokens used.
    pub tokens: Tokens,
    /// The server reported `tokens`, or the answer never began and they are zero. Otherwise the answer broke off before
    /// the server reported usage, and `tokens` has only the prompt length that the request declared.
    pub exact: bool,
    /// When the request arrived, in milliseconds of Unix time.
    pub came_ms: u64,
    /// When the request ended, in milliseconds of Unix time.
    pub ended_ms: u64,
    /// For a retry: the first entry of the same request in this ledger.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat_of: Option<u64>,
    /// For a correction: the entry that it corrects. Its tokens count in the period of the correction.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub corrects: Option<EntryId>,
    /// For a correction: the reason given for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// A record of a usage ledger.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// A request or a correction.
    Entry(Box<Entry>),
    /// All periods up to this one are closed.
    Closed {
        /// The last closed period.
        period: u64,
        /// The number of entries written since the previous close.
        entries: u64,
    },
}
