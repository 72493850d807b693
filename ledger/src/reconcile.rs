//! Reconciliation: the ledgers of several routers, afterwards, as one account. Ledgers merge as sets of entries, so
//! neither the order nor repetition matters; the rule for retries is then applied to all entries together.

use crate::entry::{Entry, EntryId, Outcome, Record, Tokens};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// All entries of some ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedLedgers {
    entries: BTreeMap<EntryId, Entry>,
    closed: BTreeMap<String, u64>,
    conflicts: BTreeSet<EntryId>,
}

/// What was used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct UsageTotal {
    /// Requests billed.
    pub requests: u64,
    /// Of these, without tokens reported by a server.
    pub inexact: u64,
    /// Prompt tokens.
    pub prompt: i64,
    /// Of these, kept ones.
    pub kept: i64,
    /// Written tokens.
    pub written: i64,
}

impl UsageTotal {
    fn add(&mut self, tokens: Tokens) {
        let mut sum = Tokens { prompt: self.prompt, kept: self.kept, written: self.written };
        sum += tokens;
        (self.prompt, self.kept, self.written) = (sum.prompt, sum.kept, sum.written);
    }
}

/// A tenant's use in a period: within its share, and beyond.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct TenantUsage {
    /// Within the share.
    pub within: UsageTotal,
    /// Beyond it.
    pub beyond: UsageTotal,
}

/// What an auditor has to look at.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase", tag = "finding")]
pub enum Finding {
    /// A ledger lacks these entries.
    Gap {
        /// The router.
        router: String,
        /// The first that is missing.
        first: u64,
        /// The last.
        last: u64,
    },
    /// Two different entries stand under one name; the total has one of them.
    Conflict {
        /// Their name.
        name: EntryId,
    },
    /// A request was served more than once; it is billed once.
    Repeat {
        /// The one that is billed.
        billed: EntryId,
        /// The one that is not.
        repeat: EntryId,
    },
    /// An entry stands in a period that its ledger had closed.
    Closed {
        /// The entry.
        name: EntryId,
    },
    /// A correction names an entry that is not there, or not billed.
    Stray {
        /// The correction.
        name: EntryId,
    },
}

/// The account of all ledgers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reconciliation {
    /// By period and tenant.
    pub totals: BTreeMap<(u64, String), TenantUsage>,
    /// In a settled order.
    pub findings: Vec<Finding>,
}

impl MergedLedgers {
    /// Adds a router's records, in their order or any part of them.
    pub fn add(&mut self, router: &str, records: impl IntoIterator<Item = Record>) {
        for record in records {
            match record {
                Record::Closed { period, .. } => {
                    let closed = self.closed.entry(router.to_owned()).or_insert(period);
                    *closed = period.max(*closed);
                }
                Record::Entry(entry) => {
                    self.put(EntryId { router: router.to_owned(), number: entry.number }, *entry)
                }
            }
        }
    }

    fn put(&mut self, name: EntryId, entry: Entry) {
        let old = match self.entries.get(&name) {
            Some(old) if *old != entry => old,
            Some(_) => return,
            None => return drop(self.entries.insert(name, entry)),
        };
        self.conflicts.insert(name.clone());
        // Whichever came first: the same one stays.
        if key(&entry) < key(old) {
            self.entries.insert(name, entry);
        }
    }

    /// Adds all of another.
    pub fn merge(&mut self, other: MergedLedgers) {
        other.entries.into_iter().for_each(|(name, entry)| self.put(name, entry));
        self.conflicts.extend(other.conflicts);
        for (router, period) in other.closed {
            let closed = self.closed.entry(router).or_insert(period);
            *closed = period.max(*closed);
        }
    }

    /// The account, where repeats of an ask within `join_ms` of its first try are tries of one request.
    pub fn reconcile(&self, join_ms: u64) -> Reconciliation {
        let mut account = Reconciliation::default();
        let mut billed = HashMap::new();
        let mut asks: BTreeMap<(&str, &str, u64), Vec<Try<'_>>> = BTreeMap::new();
        for (name, entry) in self.entries.iter().filter(|(_, entry)| entry.corrects.is_none()) {
            asks.entry((&entry.tenant, &entry.class, entry.ask)).or_default().push((name, entry));
        }
        for mut tries in asks.into_values() {
            tries.sort_by_key(|(name, entry)| (entry.came_ms, *name));
            let mut rest = tries.as_slice();
            while let Some((_, first)) = rest.first() {
                let same = rest.partition_point(|(_, entry)| entry.came_ms - first.came_ms <= join_ms);
                let (tries, later) = rest.split_at(same);
                rest = later;
                account.bill(first, tries, &mut billed);
            }
        }
        let corrections =
            self.entries.iter().filter_map(|(name, entry)| Some((name, entry, entry.corrects.as_ref()?)));
        for (name, entry, of) in corrections {
            match billed.get(of) {
                Some((tenant, beyond)) => {
                    let line = account.totals.entry((entry.period, String::clone(tenant))).or_default();
                    if *beyond { line.beyond.add(entry.tokens) } else { line.within.add(entry.tokens) }
                }
                None => account.findings.push(Finding::Stray { name: name.clone() }),
            }
        }
        account.findings.extend(self.gaps());
        account.findings.extend(self.conflicts.iter().map(|name| Finding::Conflict { name: name.clone() }));
        account.findings.sort_by_key(|finding| format!("{finding:?}"));
        account
    }

    fn gaps(&self) -> Vec<Finding> {
        let mut gaps = Vec::new();
        let mut last: Option<&EntryId> = None;
        for name in self.entries.keys() {
            let before = last.filter(|last| last.router == name.router).map_or(0, |last| last.number);
            if name.number > before + 1 {
                let (first, last) = (before + 1, name.number - 1);
                gaps.push(Finding::Gap { router: name.router.clone(), first, last });
            }
            last = Some(name);
        }
        gaps
    }
}

impl Reconciliation {
    /// Bills the tries of one request: the first served, else the first whose answer began, in the period and share
    /// of the first try.
    fn bill<'a>(
        &mut self,
        first: &Entry,
        tries: &[Try<'a>],
        billed: &mut HashMap<&'a EntryId, (&'a String, bool)>,
    ) {
        let worth = |entry: &Entry| match entry.outcome {
            Outcome::Served => Some(0),
            _ if entry.tokens != Tokens::default() => Some(1),
            _ => None,
        };
        let ranked =
            tries.iter().filter_map(|(name, entry)| Some((worth(entry)?, entry.ended_ms, *name, *entry)));
        let Some((_, _, name, entry)) = ranked.min_by_key(|(worth, ended, name, _)| (*worth, *ended, *name))
        else {
            return;
        };
        let line = self.totals.entry((first.period, entry.tenant.clone())).or_default();
        let sum = if first.beyond { &mut line.beyond } else { &mut line.within };
        sum.requests += 1;
        sum.inexact += u64::from(!entry.exact);
        sum.add(entry.tokens);
        billed.insert(name, (&entry.tenant, first.beyond));
        let again = tries.iter().filter(|(other, entry)| *other != name && entry.outcome == Outcome::Served);
        self.findings.extend(
            again.map(|(repeat, _)| Finding::Repeat { billed: name.clone(), repeat: EntryId::clone(repeat) }),
        );
    }
}

/// One try of a request.
type Try<'a> = (&'a EntryId, &'a Entry);

/// What orders different entries of one name.
fn key(entry: &Entry) -> String {
    format!("{entry:?}")
}
