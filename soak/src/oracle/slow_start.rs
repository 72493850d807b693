//! A server that starts is not pushed over.

use super::request::Request;
use super::{Oracle, Violation};
use crate::limits::{OVERLOAD_MULTIPLE, OVERLOAD_WINDOW, QUOTA_FACTOR, SLOW_START_SHARE, SLOW_START_TIME};
use std::time::Instant;

/// Under this many requests in its window a server in slow start has three roots of room.
const FEW: f64 = 30.0;
/// A fall counts where more than this part of it came from routers that had been told of the start.
const TOLD_PART: f64 = 2.0 / 3.0;

impl Oracle<'_> {
    pub(super) fn slow_start(&mut self, requests: &[Request]) {
        let starts: Vec<(usize, Instant)> = self
            .seen
            .starts
            .iter()
            .flat_map(|(worker, starts)| starts.iter().map(|at| (*worker, *at)))
            .collect();
        for (worker, start) in starts {
            let peers = if worker < self.readers { self.readers } else { self.writers };
            let warm = self.requests_per_s * QUOTA_FACTOR / peers as f64;
            let mut sends: Vec<(Instant, usize)> = requests
                .iter()
                .flat_map(|request| request.attempts.iter().map(|attempt| (attempt, request.router)))
                .filter(|(attempt, _)| {
                    attempt.worker == worker
                        && attempt.first >= start
                        && attempt.first < start + SLOW_START_TIME
                })
                .map(|(attempt, router)| (attempt.first, router))
                .collect();
            sends.sort();
            for (place, (now, _)) in sends.iter().enumerate() {
                // What counts is what it can do at this moment.
                let age = (*now - start).as_secs_f64() / SLOW_START_TIME.as_secs_f64();
                let warmth = SLOW_START_SHARE + (1.0 - SLOW_START_SHARE) * age;
                let allowed = warm * warmth * OVERLOAD_MULTIPLE * OVERLOAD_WINDOW.as_secs_f64();
                let roots = if allowed < FEW { 3.0 } else { 2.0 };
                let falls = allowed + roots * allowed.sqrt() + roots;
                let window: Vec<_> =
                    sends[..=place].iter().filter(|(at, _)| *at + OVERLOAD_WINDOW > *now).collect();
                let told = |(at, router): &&&(Instant, usize)| {
                    let told = self.seen.told_starts.get(&(*router, worker));
                    told.is_some_and(|told| told.iter().any(|told| *told >= start && told <= at))
                };
                let knew = window.iter().filter(told).count();
                if window.len() as f64 > falls && knew as f64 > TOLD_PART * window.len() as f64 {
                    let message = format!(
                        "server {worker} got {} in 2 s, {} ms after its start; it falls at {falls:.1}",
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
