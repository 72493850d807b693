//! Calls that servers accepted and then failed: hung, reset, rejected late or cancelled. Their leases are released in
//! time, whatever earlier releases did. Runs real router processes with the fault soak's servers and checks.

mod plans;

use plans::assert_no_violations;

#[tokio::test(flavor = "multi_thread")]
async fn failed_accepted_calls_leave_no_leases() {
    let hung = ["writer_takes", "all_writers_take", "ends_noticed_late"];
    let answered = ["writers_reset_late", "writers_refuse_late"];
    for name in hung.into_iter().chain(answered) {
        assert_no_violations(name).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn random_call_and_release_failures_leave_no_leases() {
    for name in ["calls_fail", "calls_fail_beside_drains", "releases_reach_all"] {
        assert_no_violations(name).await;
    }
}
