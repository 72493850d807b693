//! Server processes that are suspended one after the other while their kernels go on accepting data. Runs real router
//! processes with the fault soak's network and checks; `stopped_process.rs` shows the same with a real server process.

mod plans;

use plans::assert_no_violations;

#[tokio::test(flavor = "multi_thread")]
async fn repeats_to_suspended_servers_do_not_run_after_dedup_window() {
    assert_no_violations("stopped_servers").await;
}
