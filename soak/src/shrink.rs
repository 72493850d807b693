//! Shrinks a failing plan to fewer faults: removes ever smaller parts of its faults while it still fails.

use crate::plan::Plan;

/// Removes faults while the plan still fails, in at most `max_runs` runs.
pub async fn shrink<F>(plan: Plan, max_runs: usize, mut fails: impl FnMut(Plan) -> F) -> Plan
where
    F: Future<Output = bool>,
{
    let (mut best, mut runs_left) = (plan, max_runs);
    let mut size = best.faults.len() / 2;
    while size > 0 {
        let mut start = 0;
        while start < best.faults.len() {
            if runs_left == 0 {
                return best;
            }
            runs_left -= 1;
            let mut fewer = best.clone();
            let until = (start + size).min(fewer.faults.len());
            fewer.faults.drain(start..until);
            if fails(fewer.clone()).await {
                best = fewer;
            } else {
                start += size;
            }
        }
        size /= 2;
    }
    best
}
