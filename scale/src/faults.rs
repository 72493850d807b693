//! Faults of a point: outages of a rack, zone or region, and a silent discovery.

use crate::changes::ChangeTracker;
use crate::discovery::{Discovery, Member, Phase};
use crate::layout::Placement;
use crate::plan::{Fault, FaultKind};
use crate::worker::Worker;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Time after which discovery removes workers that stopped without a drain.
const REMOVAL_DELAY: Duration = Duration::from_secs(2);

/// Workers and discovery of a point, on which faults act.
pub struct Cluster {
    /// Role and location of each worker.
    pub placements: Vec<Placement>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The workers' entries in the first list.
    pub members: Vec<Member>,
    /// The stub of discovery.
    pub discovery: Arc<Discovery>,
    /// Tracker of list changes.
    pub tracker: Arc<ChangeTracker>,
}

/// Runs one fault from start to end.
pub async fn run(cluster: Arc<Cluster>, fault: Fault) {
    tokio::time::sleep(Duration::from_secs_f64(fault.at_s)).await;
    let duration = Duration::from_secs_f64(fault.for_s);
    if fault.kind == FaultKind::Discovery {
        cluster.discovery.set_silent(true);
        tokio::time::sleep(duration).await;
        // The delay of this change shows how long the last router takes to catch up after the outage.
        if let Some(last) = cluster.members.last() {
            cluster.tracker.record_written(&last.id);
            cluster.discovery.change(&[Member { phase: Phase::Leaving, ..last.clone() }]);
        }
        return cluster.discovery.set_silent(false);
    }
    let failing: Vec<usize> =
        (0..cluster.placements.len()).filter(|index| cluster.placements[*index].hit_by(fault.kind)).collect();
    failing.iter().for_each(|index| cluster.workers[*index].set_up(false));
    tokio::time::sleep(REMOVAL_DELAY.min(duration)).await;
    publish(&cluster, &failing, Phase::Left, 0);
    tokio::time::sleep(duration.saturating_sub(REMOVAL_DELAY)).await;
    failing.iter().for_each(|index| cluster.workers[*index].set_up(true));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    publish(&cluster, &failing, Phase::Active, now.as_millis() as u64);
}

fn publish(cluster: &Cluster, workers: &[usize], phase: Phase, up_since_ms: u64) {
    let entry = |index: &usize| Member { phase, up_since_ms, ..cluster.members[*index].clone() };
    cluster.discovery.change(&workers.iter().map(entry).collect::<Vec<_>>());
}
