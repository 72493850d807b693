//! The book: what a router writes down of each request, when it begins and when it ends.

use crate::entry::{Entry, EntryId, Outcome, Record, Tokens};
use crate::period::{OpenPeriod, Periods};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Asks remembered at once for joining tries; the oldest go first. What is not joined here is joined by
/// reconciliation, so this bounds memory and nothing else.
const MOST_ASKS: usize = 16_384;
/// A tenant may use this many seconds of its quota at once, as in the decision module.
const BURST_S: f64 = 2.0;

/// What the book goes by.
#[derive(Clone, Debug)]
pub struct RecorderConfig {
    /// The router's name.
    pub router: String,
    /// A period's length.
    pub period_ms: u64,
    /// How long after its end a period closes.
    pub grace_ms: u64,
    /// A repeat of an ask so long after its first try is a try of the same request.
    pub join_ms: u64,
    /// Each tenant's quota a second, at this router.
    pub quotas: BTreeMap<String, f64>,
}

/// A request that has come: what its first try settled.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    ask: u64,
    tenant: String,
    came_ms: u64,
    /// When its first try came.
    first_ms: u64,
    beyond: bool,
    /// Its own place among all that have come.
    place: u64,
    first: u64,
}

impl OpenRequest {
    /// It is beyond the tenant's share.
    pub fn beyond(&self) -> bool {
        self.beyond
    }
}

/// What a request used, when it has ended.
#[derive(Clone, Debug)]
pub struct RequestUsage {
    /// Its id on the wire.
    pub label: String,
    /// Its class.
    pub class: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Its answer began.
    pub answer_began: bool,
    /// Tokens that the server reported, if it did.
    pub reported_tokens: Option<Tokens>,
    /// The prompt's tokens as the request told them.
    pub declared_prompt_tokens: i64,
}

struct Ask {
    first_ms: u64,
    beyond: bool,
    place: u64,
    /// The number of its first entry.
    number: Option<u64>,
}

/// See the module's page.
pub struct Recorder {
    rules: RecorderConfig,
    periods: Periods,
    next: u64,
    /// Entries since the last close.
    entries: u64,
    asks: HashMap<u64, Ask>,
    order: VecDeque<(u64, u64)>,
    places: u64,
    buckets: HashMap<String, (f64, u64)>,
}

impl Recorder {
    /// A book that goes on after these records; of a new one, after none.
    pub fn from_records<'a>(
        rules: RecorderConfig,
        now_ms: u64,
        before: impl Iterator<Item = &'a Record>,
    ) -> Self {
        let mut book = Recorder::new(rules, now_ms);
        before.for_each(|record| book.replay(record));
        book
    }

    /// A book without records.
    pub fn new(rules: RecorderConfig, now_ms: u64) -> Self {
        let periods = Periods::new(rules.period_ms, rules.grace_ms, now_ms);
        let (asks, order, buckets) = Default::default();
        Recorder { rules, periods, next: 1, entries: 0, asks, order, places: 0, buckets }
    }

    /// Takes in a record that was written before this start.
    pub fn replay(&mut self, record: &Record) {
        match record {
            Record::Entry(entry) => {
                // A period that has entries was open, whatever the clock says now.
                if self.next == 1 {
                    self.periods = Periods::new(
                        self.rules.period_ms,
                        self.rules.grace_ms,
                        self.rules.period_ms.saturating_mul(entry.period),
                    );
                }
                self.next = entry.number + 1;
                self.entries += 1;
            }
            Record::Closed { period, .. } => {
                self.periods.close(*period);
                self.entries = 0;
            }
        }
    }

    /// The number of the next entry.
    pub fn next_number(&self) -> u64 {
        self.next
    }

    /// The first period that is not closed.
    pub fn first_open_period(&self) -> u64 {
        self.periods.first_open_period()
    }

    /// A request comes.
    pub fn begin(&mut self, ask: u64, tenant: &str, now_ms: u64) -> OpenRequest {
        self.forget(now_ms);
        self.places += 1;
        let place = self.places;
        let known =
            self.asks.get(&ask).filter(|known| now_ms.saturating_sub(known.first_ms) <= self.rules.join_ms);
        let (first_ms, beyond, first) = match known {
            Some(known) => (known.first_ms, known.beyond, known.place),
            None => {
                let beyond = self.beyond(tenant, now_ms);
                self.asks.insert(ask, Ask { first_ms: now_ms, beyond, place, number: None });
                self.order.push_back((ask, place));
                (now_ms, beyond, place)
            }
        };
        OpenRequest { ask, tenant: tenant.to_owned(), came_ms: now_ms, first_ms, beyond, place, first }
    }

    /// A request has ended: its entry.
    pub fn end(&mut self, begun: OpenRequest, used: RequestUsage, now_ms: u64) -> Record {
        let slot = self.periods.open_period_for(begun.first_ms);
        let known = self.asks.get_mut(&begun.ask).filter(|known| known.place == begun.first);
        let number = self.next;
        let first = known.map(|known| *known.number.get_or_insert(number));
        let repeat_of = first.filter(|first| *first != number && begun.place != begun.first);
        let (tokens, exact) = match used.reported_tokens {
            Some(tokens) => (tokens, true),
            // A stream that ended before its usage came: what the request told, and no guess.
            None if used.answer_began => {
                (Tokens { prompt: used.declared_prompt_tokens, ..Tokens::default() }, false)
            }
            None => (Tokens::default(), true),
        };
        self.write(
            slot,
            Entry {
                number,
                period: slot.period(),
                late_from: slot.late_from(),
                ask: begun.ask,
                label: used.label,
                tenant: begun.tenant,
                class: used.class,
                outcome: used.outcome,
                beyond: begun.beyond,
                tokens,
                exact,
                came_ms: begun.came_ms,
                ended_ms: now_ms,
                repeat_of,
                corrects: None,
                reason: None,
            },
        )
    }

    /// Corrects an entry, of this ledger or another, in a period that is open now.
    pub fn correct(&mut self, of: &Entry, at: EntryId, tokens: Tokens, reason: &str, now_ms: u64) -> Record {
        let slot = self.periods.open_period_for(now_ms);
        self.write(
            slot,
            Entry {
                number: self.next,
                period: slot.period(),
                late_from: None,
                tokens,
                exact: true,
                came_ms: now_ms,
                ended_ms: now_ms,
                repeat_of: None,
                corrects: Some(at),
                reason: Some(reason.to_owned()),
                ..of.clone()
            },
        )
    }

    fn write(&mut self, _open: OpenPeriod, entry: Entry) -> Record {
        self.next += 1;
        self.entries += 1;
        Record::Entry(Box::new(entry))
    }

    /// Closes what is due; none if nothing is.
    pub fn close_due_periods(&mut self, now_ms: u64) -> Option<Record> {
        let period = self.periods.last_due_period(now_ms)?;
        self.periods.close(period);
        Some(Record::Closed { period, entries: std::mem::take(&mut self.entries) })
    }

    fn forget(&mut self, now_ms: u64) {
        while let Some((ask, place)) = self.order.front().copied() {
            let known = self.asks.get(&ask).filter(|known| known.place == place);
            let old = known.is_none_or(|known| now_ms.saturating_sub(known.first_ms) > self.rules.join_ms);
            if !old && self.order.len() < MOST_ASKS {
                return;
            }
            if known.is_some() {
                self.asks.remove(&ask);
            }
            self.order.pop_front();
        }
    }

    fn beyond(&mut self, tenant: &str, now_ms: u64) -> bool {
        let Some(rate) = self.rules.quotas.get(tenant) else { return false };
        let most = (BURST_S * rate).max(BURST_S);
        let (left, at) = self.buckets.entry(tenant.to_owned()).or_insert((most, now_ms));
        *left = (*left + rate * now_ms.saturating_sub(*at) as f64 / 1_000.0).min(most);
        *at = now_ms.max(*at);
        let within = *left >= 1.0;
        *left -= f64::from(u8::from(within));
        !within
    }
}
