//! The fewest faults of a failing plan that still fail: parts are left out, halves first, then one by one.

use crate::plan::Plan;

/// Leaves faults out as long as the plan still fails; plays at most so many times.
pub async fn shrink<F>(plan: Plan, most: usize, mut fails: impl FnMut(Plan) -> F) -> Plan
where
    F: Future<Output = bool>,
{
    let (mut best, mut left) = (plan, most);
    let mut part = best.faults.len() / 2;
    while part > 0 {
        let mut from = 0;
        while from < best.faults.len() {
            if left == 0 {
                return best;
            }
            left -= 1;
            let mut fewer = best.clone();
            let until = (from + part).min(fewer.faults.len());
            fewer.faults.drain(from..until);
            if fails(fewer.clone()).await {
                best = fewer;
            } else {
                from += part;
            }
        }
        part /= 2;
    }
    best
}
