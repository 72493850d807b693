//! Failures of a point: racks, zones and regions that go and come back, and a discovery that falls silent.

use crate::changes::Board;
use crate::discovery::{Discovery, Member, Phase};
use crate::layout::Place;
use crate::plan::{Failing, Fault};
use crate::worker::Worker;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Discovery drops workers that went without a word after this time.
const NOTICED_AFTER: Duration = Duration::from_secs(2);

/// All that failures act on.
pub struct Stage {
    /// Where the workers stand.
    pub places: Vec<Place>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// Their entries as the list began.
    pub members: Vec<Member>,
    /// The list.
    pub discovery: Arc<Discovery>,
    /// When changes were written and heard.
    pub board: Arc<Board>,
}

/// Plays one failure from its beginning to its end.
pub async fn play(stage: Arc<Stage>, fault: Fault) {
    tokio::time::sleep(Duration::from_secs_f64(fault.at_s)).await;
    let lasts = Duration::from_secs_f64(fault.for_s);
    if fault.kind == Failing::Discovery {
        stage.discovery.set_down(true);
        tokio::time::sleep(lasts).await;
        // How long the last router takes to hear of what was missed shows in this change.
        if let Some(last) = stage.members.last() {
            stage.board.written(&last.id);
            stage.discovery.change(&[Member { phase: Phase::Leaving, ..last.clone() }]);
        }
        return stage.discovery.set_down(false);
    }
    let failing: Vec<usize> =
        (0..stage.places.len()).filter(|at| stage.places[*at].fails_with(fault.kind)).collect();
    failing.iter().for_each(|at| stage.workers[*at].set_up(false));
    tokio::time::sleep(NOTICED_AFTER.min(lasts)).await;
    tell(&stage, &failing, Phase::Left, 0);
    tokio::time::sleep(lasts.saturating_sub(NOTICED_AFTER)).await;
    failing.iter().for_each(|at| stage.workers[*at].set_up(true));
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    tell(&stage, &failing, Phase::Active, now.as_millis() as u64);
}

fn tell(stage: &Stage, workers: &[usize], phase: Phase, up_since_ms: u64) {
    let entry = |at: &usize| Member { phase, up_since_ms, ..stage.members[*at].clone() };
    stage.discovery.change(&workers.iter().map(entry).collect::<Vec<_>>());
}
