//! What a ledger holds.

use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outcome {
    /// Answered whole.
    Served,
    /// Refused.
    Refused,
    /// Failed before its answer began.
    Failed,
    /// Its answer began and broke off.
    Broken,
    /// Its client left.
    Left,
}

/// Tokens; of a correction, what is added, which may be less than nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Tokens {
    /// Of the prompt.
    pub prompt: i64,
    /// Of these, the ones that a server had kept.
    pub kept: i64,
    /// Of the answer.
    pub written: i64,
}

impl std::ops::AddAssign for Tokens {
    fn add_assign(&mut self, other: Tokens) {
        self.prompt = self.prompt.saturating_add(other.prompt);
        self.kept = self.kept.saturating_add(other.kept);
        self.written = self.written.saturating_add(other.written);
    }
}

/// An entry of any ledger: the router that wrote it, and its number there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryId {
    /// The router.
    pub router: String,
    /// The entry's number, from 1.
    pub number: u64,
}

/// One request with its final outcome, or a correction.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its number in its ledger; without gaps.
    pub number: u64,
    /// The period that it is counted in.
    pub period: u64,
    /// The period that it belongs to, where that had closed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub late_from: Option<u64>,
    /// What joins tries of one request.
    pub ask: u64,
    /// The request's id on the wire.
    pub label: String,
    /// Whose it is; empty where sites have no customers.
    pub tenant: String,
    /// Its class.
    pub class: String,
    /// How it ended.
    pub outcome: Outcome,
    /// It came beyond the tenant's share.
    pub beyond: bool,
    /// What it used.
    pub tokens: Tokens,
    /// The server reported the tokens; else they are what the request told, by the written rule.
    pub exact: bool,
    /// When it came, in milliseconds of Unix time.
    pub came_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
    /// The first try of the same ask at the same router.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat_of: Option<u64>,
    /// It corrects that entry: its tokens are added to it, in the period of the correction.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub corrects: Option<EntryId>,
    /// Why, of a correction.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

/// What stands in a ledger, in its order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Record {
    /// An entry.
    Entry(Box<Entry>),
    /// All periods up to this one are closed.
    Closed {
        /// The last closed period.
        period: u64,
        /// How many entries its periods got since the close before.
        entries: u64,
    },
}
