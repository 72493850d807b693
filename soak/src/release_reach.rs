//! What a release frees: the operators' specification can be read in two ways.

use serde::{Deserialize, Serialize};

/// Effect of a release on a state that an attempt waits for. The socket page says "releases everything held for the
/// request", the simulator's page "lets go of every state and place that is held for the request and that no attempt
/// waits for". A router must work with both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReleaseReach {
    /// It frees only states that no attempt waits for.
    #[default]
    Unawaited,
    /// It frees all states; a waiting attempt finds none.
    All,
}
