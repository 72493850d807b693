//! Calls that servers took and that come to nothing: hung, reset, turned away late, given up. What they waited for is let
//! go of in time, whatever a release did while they waited. Real router processes, by the fault soak's servers and checks.

mod plans;

use plans::keeps_all_rules;

#[tokio::test(flavor = "multi_thread")]
async fn calls_that_were_taken_and_fail_leave_nothing_held() {
    let hung = ["writer_takes", "all_writers_take", "ends_noticed_late"];
    let answered = ["writers_reset_late", "writers_refuse_late"];
    for name in hung.into_iter().chain(answered) {
        keeps_all_rules(name).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_and_releases_that_fail_at_random_leave_nothing_held() {
    for name in ["calls_fail", "calls_fail_beside_drains", "releases_reach_all"] {
        keeps_all_rules(name).await;
    }
}
