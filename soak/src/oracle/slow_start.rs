//! Check that a server in slow start is not overloaded.

use super::request::Request;
use super::{Oracle, Violation};
use crate::limits::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, QUOTA_FACTOR, SLOW_START_SHARE, SLOW_START_TIME};
use std::time::Instant;

/// Below this many requests per window, three standard deviations (square roots of the count) are allowed instead of
/// two.
const SMALL_COUNT: f64 = 30.0;
/// An overload counts only if more than this share of its requests came from routers that knew of the start.
const INFORMED_SHARE: f64 = 2.0 / 3.0;

impl Oracle<'_> {
    pub(super) fn check_slow_start(&mut self, requests: &[Request]) {
        let starts: Vec<(usize, Instant)> = self
            .seen
            .starts
            .iter()
            .flat_map(|(worker, starts)| starts.iter().map(|at| (*worker, *at)))
            .collect();
        for (worker, start) in starts {
            let peers = if worker < self.readers { self.readers } else { self.writers };
            let capacity = self.requests_per_s * QUOTA_FACTOR / peers as f64;
            let mut sends: Vec<(Instant, usize)> = requests
                .iter()
                .flat_map(|request| request.attempts.iter().map(|attempt| (attempt, request.router)))
                .filter(|(attempt, _)| {
                    attempt.worker == worker
                        && attempt.began >= start
                        && attempt.began < start + SLOW_START_TIME
                })
                .map(|(attempt, router)| (attempt.began, router))
                .collect();
            sends.sort();
            for (index, (now, _)) in sends.iter().enumerate() {
                // The capacity of a server in slow start grows linearly; what counts is its value at this moment.
                let age = (*now - start).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
                let share = SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * age;
                let allowed = capacity * share * OVERLOAD_MULTIPLE * OVERLOAD_WINDOW.as_secs_f64();
                let deviations = if allowed < SMALL_COUNT { 3.0 } else { 2.0 };
                let limit = allowed + deviations * allowed.sqrt() + deviations;
                let window: Vec<_> =
                    sends[..=index].iter().filter(|(at, _)| *at + OVERLOAD_WINDOW > *now).collect();
                let knew_start = |(at, router): &&&(Instant, usize)| {
                    let told = self.seen.told_starts.get(&(*router, worker));
                    told.is_some_and(|told| told.iter().any(|told| *told >= start && told <= at))
                };
                let informed = window.iter().filter(knew_start).count();
                if window.len() as f64 > limit && informed as f64 > INFORMED_SHARE * window.len() as f64 {
                    let message = format!(
                        "server {worker} got {} in 2 s, {} ms after its start; it falls at {limit:.1}",
                        window.len(),
                        (*now - start).as_millis()
                    );
                    let trace = window
                        .iter()
                        .map(|(at, router)| {
                            format!("+{} ms after its start, from n{router}", (*at - start).as_millis())
                        })
                        .collect();
                    self.violations.push(Violation { check: "slow_start", message, trace });
                    break;
                }
            }
        }
    }
}
