//! The recorder: turns the requests of a router into ledger records and recognises retries of the same request.

use crate::entry::{Entry, EntryId, Outcome, Record, Tokens};
use crate::period::{OpenPeriod, Periods};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// The maximum number of requests remembered to recognise their retries; the oldest are dropped first. It only bounds
/// memory: reconciliation joins the retries that are missed here.
const MAX_RECENT_REQUESTS: usize = 16_384;
/// The capacity of a tenant's token bucket, in seconds of its quota; the same as in the decision module.
const BURST_SECONDS: f64 = 2.0;

/// The configuration of a [`Recorder`].
#[derive(Clone, Debug)]
pub struct RecorderConfig {
    /// The router's name.
    pub router: String,
    /// The length of a period.
    pub period_ms: u64,
    /// The time between the end of a period and its close.
    pub grace_ms: u64,
    /// A request that repeats an earlier one (same tenant and `ask`) within this time is a retry of it.
    pub join_ms: u64,
    /// Each tenant's quota at this router, in requests per second.
    pub quotas: BTreeMap<String, f64>,
}

/// What a request and its retries have in common. Two tenants may ask for the same, and neither pays for the other.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RequestKey {
    tenant: String,
    ask: u64,
}

/// A request that has begun and not ended. A retry takes its period and quota decision from the first request.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    key: RequestKey,
    came_ms: u64,
    /// When the first request arrived, in milliseconds of Unix time.
    first_ms: u64,
    beyond: bool,
    /// The arrival number of this request.
    arrival: u64,
    /// The arrival number of the first request; equal to `arrival` unless this is a retry.
    first_arrival: u64,
}

impl OpenRequest {
    /// Whether the request exceeds the tenant's quota.
    pub fn beyond(&self) -> bool {
        self.beyond
    }
}

/// How a request ended and what it used.
#[derive(Clone, Debug)]
pub struct RequestUsage {
    /// The request's id on the wire.
    pub label: String,
    /// The request's class.
    pub class: String,
    /// How the request ended.
    pub outcome: Outcome,
    /// Whether the answer began.
    pub answer_began: bool,
    /// The tokens that the server reported, if it did.
    pub reported_tokens: Option<Tokens>,
    /// The length of the prompt in tokens, as the request declared it.
    pub declared_prompt_tokens: i64,
}

/// The first request with a key, kept to recognise its retries.
struct RecentRequest {
    came_ms: u64,
    beyond: bool,
    arrival: u64,
    /// The number of the first entry written for it or one of its retries.
    first_entry: Option<u64>,
}

/// Creates the records of one ledger; the caller stores them.
pub struct Recorder {
    config: RecorderConfig,
    periods: Periods,
    next_number: u64,
    entries_since_close: u64,
    recent: HashMap<RequestKey, RecentRequest>,
    /// The key and arrival number of each recent request, oldest first.
    arrival_order: VecDeque<(RequestKey, u64)>,
    /// The last arrival number.
    arrivals: u64,
    /// By tenant: the level of its token bucket, and when it was updated in milliseconds of Unix time.
    quota_buckets: HashMap<String, (f64, u64)>,
}

impl Recorder {
    /// A recorder that continues after the records of an existing ledger.
    pub fn from_records<'a>(
        config: RecorderConfig,
        now_ms: u64,
        records: impl Iterator<Item = &'a Record>,
    ) -> Self {
        let mut recorder = Recorder::new(config, now_ms);
        records.for_each(|record| recorder.replay(record));
        recorder
    }

    /// A recorder for an empty ledger.
    pub fn new(config: RecorderConfig, now_ms: u64) -> Self {
        let periods = Periods::new(config.period_ms, config.grace_ms, now_ms);
        let (recent, arrival_order, quota_buckets) = Default::default();
        Recorder {
            config,
            periods,
            next_number: 1,
            entries_since_close: 0,
            recent,
            arrival_order,
            arrivals: 0,
            quota_buckets,
        }
    }

    /// Applies a record of an existing ledger.
    pub fn replay(&mut self, record: &Record) {
        match record {
            Record::Entry(entry) => {
                // The first entry's period was open when it was written, even if the clock is past that period now.
                if self.next_number == 1 {
                    self.periods = Periods::new(
                        self.config.period_ms,
                        self.config.grace_ms,
                        self.config.period_ms.saturating_mul(entry.period),
                    );
                }
                self.next_number = entry.number + 1;
                self.entries_since_close += 1;
            }
            Record::Closed { period, .. } => {
                self.periods.close(*period);
                self.entries_since_close = 0;
            }
        }
    }

    /// The number of the next entry.
    pub fn next_number(&self) -> u64 {
        self.next_number
    }

    /// The first period that is not closed.
    pub fn first_open_period(&self) -> u64 {
        self.periods.first_open_period()
    }

    /// A request arrives. `tenant` and `ask` are the same for a request and its retries.
    pub fn begin(&mut self, ask: u64, tenant: &str, now_ms: u64) -> OpenRequest {
        self.expire_recent(now_ms);
        self.arrivals += 1;
        let arrival = self.arrivals;
        let key = RequestKey { tenant: tenant.to_owned(), ask };
        let first =
            self.recent.get(&key).filter(|first| now_ms.saturating_sub(first.came_ms) <= self.config.join_ms);
        let (first_ms, beyond, first_arrival) = match first {
            Some(first) => (first.came_ms, first.beyond, first.arrival),
            None => {
                let beyond = self.exceeds_quota(tenant, now_ms);
                let request = RecentRequest { came_ms: now_ms, beyond, arrival, first_entry: None };
                self.recent.insert(key.clone(), request);
                self.arrival_order.push_back((key.clone(), arrival));
                (now_ms, beyond, arrival)
            }
        };
        OpenRequest { key, came_ms: now_ms, first_ms, beyond, arrival, first_arrival }
    }

    /// A request ends; returns its entry.
    pub fn end(&mut self, open: OpenRequest, usage: RequestUsage, now_ms: u64) -> Record {
        let open_period = self.periods.open_period_for(open.first_ms);
        let first = self.recent.get_mut(&open.key).filter(|first| first.arrival == open.first_arrival);
        let number = self.next_number;
        let first_entry = first.map(|first| *first.first_entry.get_or_insert(number));
        let repeat_of = first_entry.filter(|first| *first != number && open.arrival != open.first_arrival);
        let (tokens, exact) = match usage.reported_tokens {
            Some(tokens) => (tokens, true),
            // The stream ended before the server reported usage: bill the declared prompt, estimate nothing.
            None if usage.answer_began => {
                (Tokens { prompt: usage.declared_prompt_tokens, ..Tokens::default() }, false)
            }
            None => (Tokens::default(), true),
        };
        self.record(
            open_period,
            Entry {
                number,
                period: open_period.period(),
                late_from: open_period.late_from(),
                ask: open.key.ask,
                label: usage.label,
                tenant: open.key.tenant,
                class: usage.class,
                outcome: usage.outcome,
                beyond: open.beyond,
                tokens,
                exact,
                came_ms: open.came_ms,
                ended_ms: now_ms,
                repeat_of,
                corrects: None,
                reason: None,
            },
        )
    }

    /// Returns a correction of an entry of this or another ledger, counted in a period that is open now.
    pub fn correct(
        &mut self,
        original: &Entry,
        id: EntryId,
        tokens: Tokens,
        reason: &str,
        now_ms: u64,
    ) -> Record {
        let open_period = self.periods.open_period_for(now_ms);
        self.record(
            open_period,
            Entry {
                number: self.next_number,
                period: open_period.period(),
                late_from: None,
                tokens,
                exact: true,
                came_ms: now_ms,
                ended_ms: now_ms,
                repeat_of: None,
                corrects: Some(id),
                reason: Some(reason.to_owned()),
                ..original.clone()
            },
        )
    }

    /// Counts an entry. The [`OpenPeriod`] proves that its period is open.
    fn record(&mut self, _proof: OpenPeriod, entry: Entry) -> Record {
        self.next_number += 1;
        self.entries_since_close += 1;
        Record::Entry(Box::new(entry))
    }

    /// Closes the periods that are due. Returns `None` if there are none.
    pub fn close_due_periods(&mut self, now_ms: u64) -> Option<Record> {
        let period = self.periods.last_due_period(now_ms)?;
        self.periods.close(period);
        Some(Record::Closed { period, entries: std::mem::take(&mut self.entries_since_close) })
    }

    /// Forgets requests that are too old to have retries, and the oldest where there are too many.
    fn expire_recent(&mut self, now_ms: u64) {
        while let Some((key, arrival)) = self.arrival_order.front() {
            let first = self.recent.get(key).filter(|first| first.arrival == *arrival);
            let expired =
                first.is_none_or(|first| now_ms.saturating_sub(first.came_ms) > self.config.join_ms);
            if !expired && self.arrival_order.len() < MAX_RECENT_REQUESTS {
                return;
            }
            let is_current = first.is_some();
            let Some((key, _)) = self.arrival_order.pop_front() else { return };
            if is_current {
                self.recent.remove(&key);
            }
        }
    }

    /// Takes a token for a request from the tenant's bucket; true if there is none left.
    fn exceeds_quota(&mut self, tenant: &str, now_ms: u64) -> bool {
        let Some(rate) = self.config.quotas.get(tenant) else { return false };
        let capacity = (BURST_SECONDS * rate).max(BURST_SECONDS);
        let (level, updated_ms) = self.quota_buckets.entry(tenant.to_owned()).or_insert((capacity, now_ms));
        *level = (*level + rate * now_ms.saturating_sub(*updated_ms) as f64 / 1_000.0).min(capacity);
        *updated_ms = now_ms.max(*updated_ms);
        let within = *level >= 1.0;
        *level -= f64::from(u8::from(within));
        !within
    }
}
