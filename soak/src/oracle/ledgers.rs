//! Check that the routers' ledgers match what servers wrote.

use super::request::{Request, format_trace};
use super::{Oracle, Violation};
use crate::trace::Outcome;
use std::collections::HashMap;

/// The status of a request that failed after it was accepted.
const FAILED: u16 = 502;

impl Oracle<'_> {
    pub(super) fn check_ledgers(&mut self, requests: &[Request]) {
        let mut numbers: Vec<&usize> = self.seen.ledgers.keys().collect();
        numbers.sort();
        for router in numbers {
            if self.disk_failed_at_stop.contains(router) {
                continue;
            }
            let mut entries: HashMap<&str, Vec<Option<i64>>> = HashMap::new();
            for (label, written) in &self.seen.ledgers[router] {
                entries.entry(label).or_default().push(*written);
            }
            let mut wrong = Vec::new();
            for request in requests.iter().filter(|request| request.router == *router) {
                let label = format!("{:016x}", request.id);
                let found = entries.get(label.as_str()).map_or(&[][..], Vec::as_slice);
                let expected = self.seen.written_tokens.get(&request.id).map(|tokens| *tokens as i64);
                let fits = match request.ended {
                    Some((_, Outcome::Served)) => found == [expected],
                    // It was accepted, too. What a 503 or a close answers may have been refused before that.
                    Some((_, Outcome::Broken | Outcome::Answered(FAILED))) => found.len() == 1,
                    _ => found.len() <= 1,
                };
                if !fits {
                    wrong.push((request, format!("the ledger has {found:?}, its server wrote {expected:?}")));
                }
            }
            for (request, message) in wrong {
                let trace = format_trace(request);
                let message = format!("id={:016x} router=n{} {message}", request.id, request.router);
                self.violations.push(Violation { check: "ledger_equals_truth", message, trace });
            }
        }
    }
}
