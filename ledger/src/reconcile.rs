//! Reconciliation: merges the ledgers of several routers into one set of totals. Ledgers merge as sets of entries, so
//! neither order nor repetition matters; retries are then joined over all entries together.

use crate::entry::{Entry, EntryId, Outcome, Record, Tokens};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The entries of several ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedLedgers {
    entries: BTreeMap<EntryId, Entry>,
    /// The last closed period of each router.
    closed: BTreeMap<String, u64>,
    /// The ids with more than one entry.
    conflicts: BTreeSet<EntryId>,
}

/// A sum over billed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageTotal {
    /// The number of requests billed.
    pub requests: u64,
    /// Requests for which the server reported no usage.
    pub inexact: u64,
    /// Prompt tokens.
    pub prompt: i64,
    /// Prompt tokens that servers took from their prefix caches.
    pub kept: i64,
    /// Tokens of the answers.
    pub written: i64,
}

impl UsageTotal {
    fn add(&mut self, tokens: Tokens) {
        let mut sum = Tokens { prompt: self.prompt, kept: self.kept, written: self.written };
        sum += tokens;
        (self.prompt, self.kept, self.written) = (sum.prompt, sum.kept, sum.written);
    }
}

/// What a tenant used in a period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TenantUsage {
    /// Requests within the tenant's quota.
    pub within: UsageTotal,
    /// Requests beyond it.
    pub beyond: UsageTotal,
}

/// An irregularity for an auditor to examine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase", tag = "finding")]
pub enum Finding {
    /// Entries are missing from a ledger.
    Gap {
        /// The router.
        router: String,
        /// The number of the first missing entry.
        first: u64,
        /// The number of the last missing entry.
        last: u64,
    },
    /// Different entries have the same id; one of them is counted.
    Conflict {
        /// Their id.
        name: EntryId,
    },
    /// A request was served more than once; it is billed once.
    Repeat {
        /// The entry that is billed.
        billed: EntryId,
        /// An entry that is not billed.
        repeat: EntryId,
    },
    /// An entry is counted in a period that its ledger had already closed.
    Closed {
        /// The entry.
        name: EntryId,
    },
    /// A correction of an entry that is missing or not billed.
    Stray {
        /// The correction.
        name: EntryId,
    },
}

/// The result of reconciling ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// Usage by period and tenant.
    pub totals: BTreeMap<(u64, String), TenantUsage>,
    /// All findings, in an order that does not depend on that of the input.
    pub findings: Vec<Finding>,
}

impl MergedLedgers {
    /// Adds records of a router's ledger: all or some, in any order.
    pub fn add(&mut self, router: &str, records: impl IntoIterator<Item = Record>) {
        for record in records {
            match record {
                Record::Closed { period, .. } => {
                    let closed = self.closed.entry(router.to_owned()).or_insert(period);
                    *closed = period.max(*closed);
                }
                Record::Entry(entry) => {
                    self.insert(EntryId { router: router.to_owned(), number: entry.number }, *entry)
                }
            }
        }
    }

    fn insert(&mut self, id: EntryId, entry: Entry) {
        let existing = match self.entries.get(&id) {
            Some(existing) if *existing != entry => existing,
            Some(_) => return,
            None => return drop(self.entries.insert(id, entry)),
        };
        self.conflicts.insert(id.clone());
        // Keeps the same entry whichever is added first.
        if conflict_key(&entry) < conflict_key(existing) {
            self.entries.insert(id, entry);
        }
    }

    /// Adds the entries of `other`.
    pub fn merge(&mut self, other: MergedLedgers) {
        other.entries.into_iter().for_each(|(id, entry)| self.insert(id, entry));
        self.conflicts.extend(other.conflicts);
        for (router, period) in other.closed {
            let closed = self.closed.entry(router).or_insert(period);
            *closed = period.max(*closed);
        }
    }

    /// Totals and findings. Requests with the same `ask` within `join_ms` of the first one are its retries.
    pub fn reconcile(&self, join_ms: u64) -> Reconciliation {
        let mut result = Reconciliation::default();
        let mut billed = HashMap::new();
        let mut by_ask: BTreeMap<(&str, &str, u64), Vec<EntryRef<'_>>> = BTreeMap::new();
        for (id, entry) in self.entries.iter().filter(|(_, entry)| entry.corrects.is_none()) {
            by_ask.entry((&entry.tenant, &entry.class, entry.ask)).or_default().push((id, entry));
        }
        for mut requests in by_ask.into_values() {
            requests.sort_by_key(|(id, entry)| (entry.came_ms, *id));
            let mut rest = requests.as_slice();
            while let Some((_, first)) = rest.first() {
                let count = rest.partition_point(|(_, entry)| entry.came_ms - first.came_ms <= join_ms);
                let (request, later) = rest.split_at(count);
                rest = later;
                result.bill(first, request, &mut billed);
            }
        }
        let corrections =
            self.entries.iter().filter_map(|(id, entry)| Some((id, entry, entry.corrects.as_ref()?)));
        for (id, entry, corrected) in corrections {
            match billed.get(corrected) {
                Some((tenant, beyond)) => {
                    let usage = result.totals.entry((entry.period, String::clone(tenant))).or_default();
                    if *beyond { usage.beyond.add(entry.tokens) } else { usage.within.add(entry.tokens) }
                }
                None => result.findings.push(Finding::Stray { name: id.clone() }),
            }
        }
        result.findings.extend(self.gaps());
        result.findings.extend(self.conflicts.iter().map(|id| Finding::Conflict { name: id.clone() }));
        result.findings.sort_by_key(|finding| format!("{finding:?}"));
        result
    }

    fn gaps(&self) -> Vec<Finding> {
        let mut gaps = Vec::new();
        let mut previous: Option<&EntryId> = None;
        for id in self.entries.keys() {
            let before = previous
                .filter(|previous| previous.router == id.router)
                .map_or(0, |previous| previous.number);
            if id.number > before + 1 {
                let (first, last) = (before + 1, id.number - 1);
                gaps.push(Finding::Gap { router: id.router.clone(), first, last });
            }
            previous = Some(id);
        }
        gaps
    }
}

impl Reconciliation {
    /// Bills one request, given as the entries of its first arrival and its retries: the entry that was served first,
    /// else the one that ended first of those with tokens. It counts in the period of the first arrival, and within or
    /// beyond the quota as that one did.
    fn bill<'a>(
        &mut self,
        first: &Entry,
        entries: &[EntryRef<'a>],
        billed: &mut HashMap<&'a EntryId, (&'a String, bool)>,
    ) {
        let rank = |entry: &Entry| match entry.outcome {
            Outcome::Served => Some(0),
            _ if entry.tokens != Tokens::default() => Some(1),
            _ => None,
        };
        let ranked =
            entries.iter().filter_map(|(id, entry)| Some((rank(entry)?, entry.ended_ms, *id, *entry)));
        let Some((_, _, billed_id, entry)) =
            ranked.min_by_key(|(rank, ended_ms, id, _)| (*rank, *ended_ms, *id))
        else {
            return;
        };
        let usage = self.totals.entry((first.period, entry.tenant.clone())).or_default();
        let total = if first.beyond { &mut usage.beyond } else { &mut usage.within };
        total.requests += 1;
        total.inexact += u64::from(!entry.exact);
        total.add(entry.tokens);
        billed.insert(billed_id, (&entry.tenant, first.beyond));
        let repeats =
            entries.iter().filter(|(id, entry)| *id != billed_id && entry.outcome == Outcome::Served);
        self.findings.extend(
            repeats.map(|(id, _)| Finding::Repeat { billed: billed_id.clone(), repeat: EntryId::clone(id) }),
        );
    }
}

/// An entry with its id.
type EntryRef<'a> = (&'a EntryId, &'a Entry);

/// The sort key that selects one of several entries with the same id.
fn conflict_key(entry: &Entry) -> String {
    format!("{entry:?}")
}
