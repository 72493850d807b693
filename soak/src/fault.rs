//! Troubles: what can go wrong in a play, and with whom.

use serde::{Deserialize, Serialize};

/// One trouble.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// When it begins, after the quiet time.
    pub at_ms: u64,
    /// How long it lasts.
    pub for_ms: u64,
    /// What it is.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// A system call that fails at a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SystemCall {
    /// See `fawnstream_faults::FaultKind`.
    Accept,
    /// The same.
    Connect,
    /// The same.
    Socket,
    /// The same.
    Wait,
    /// The same.
    Short,
    /// The same.
    Exhausted,
}

/// What all servers of a plan that fall silent together do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SilentRole {
    /// They read.
    Readers,
    /// They write.
    Writers,
}

/// What goes wrong. Routers and servers go by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum FaultAction {
    /// SIGTERM, then SIGKILL if it has not ended in time, and a new process.
    RouterStops {
        /// Which.
        router: usize,
    },
    /// SIGTERM, SIGHUP and SIGTERM in quick succession; SIGKILL if it has not ended in time, and a new process.
    RouterSignals {
        /// Which.
        router: usize,
    },
    /// SIGKILL, and a new process.
    RouterKilled {
        /// Which.
        router: usize,
    },
    /// SIGHUP.
    RouterReloads {
        /// Which.
        router: usize,
    },
    /// SIGSTOP, and SIGCONT at the end.
    RouterFrozen {
        /// Which.
        router: usize,
    },
    /// Requests are taken and never answered.
    WorkerHangs {
        /// Which.
        worker: usize,
    },
    /// Nothing passes in either direction; at the end all its connections are reset.
    WorkerSilent {
        /// Which.
        worker: usize,
    },
    /// Its process stands still: its machine accepts what comes, and it is dealt with at the end.
    WorkerStopped {
        /// Which.
        worker: usize,
    },
    /// So many of a thousand connections to it, old and new, fall silent and stay so; it is well itself.
    ConnectionsSilent {
        /// Which.
        worker: usize,
        /// So many of a thousand.
        per_mille: u32,
    },
    /// All servers that read, or all that write, are silent as one is that is cut off.
    RoleSilent {
        /// Which.
        role: SilentRole,
    },
    /// All its connections are reset, once.
    WorkerResets {
        /// Which.
        worker: usize,
    },
    /// Its process dies, and a new one starts cold at the end.
    WorkerCrashes {
        /// Which.
        worker: usize,
    },
    /// It is told as leaving, and as active again at the end.
    WorkerDrains {
        /// Which.
        worker: usize,
    },
    /// Its process takes requests and says nothing.
    WorkerTakes {
        /// Which.
        worker: usize,
    },
    /// All servers that read, or all that write, do so.
    RoleTakes {
        /// Which.
        role: SilentRole,
    },
    /// It takes requests and turns them away later.
    WorkerRefusesLate {
        /// Which.
        worker: usize,
    },
    /// It takes requests and resets their connections later.
    WorkerResetsLate {
        /// Which.
        worker: usize,
    },
    /// It turns requests away.
    WorkerRejects {
        /// Which.
        worker: usize,
    },
    /// Its answers break in the middle: garbage, or half a chunk and a reset.
    WorkerSpoils {
        /// Which.
        worker: usize,
    },
    /// It takes ten times as long.
    WorkerSlow {
        /// Which.
        worker: usize,
    },
    /// It closes idle connections at once.
    WorkerForgets {
        /// Which.
        worker: usize,
    },
    /// Agents say nothing, and learn nothing.
    DiscoverySilent,
    /// All watches are reset, once.
    DiscoveryResets,
    /// System calls of one router fail.
    SystemCalls {
        /// Which.
        router: usize,
        /// Which call.
        call: SystemCall,
        /// So many of a thousand.
        per_mille: u32,
    },
    /// Writes and syncs of one router's ledger fail.
    DiskFails {
        /// Which.
        router: usize,
    },
    /// One router's wall clock is stepped; it stays so until the end.
    WallClock {
        /// Which.
        router: usize,
        /// By so much.
        step_ms: i64,
    },
    /// Most clients leave before their answer has ended.
    ClientsLeave,
    /// Clients send half a request and stay.
    ClientsHalf,
    /// Twice as many requests.
    Burst,
}

impl FaultAction {
    /// The router that it is about.
    pub fn router(&self) -> Option<usize> {
        match *self {
            FaultAction::RouterStops { router }
            | FaultAction::RouterSignals { router }
            | FaultAction::RouterKilled { router }
            | FaultAction::RouterReloads { router }
            | FaultAction::RouterFrozen { router }
            | FaultAction::SystemCalls { router, .. }
            | FaultAction::DiskFails { router }
            | FaultAction::WallClock { router, .. } => Some(router),
            _ => None,
        }
    }

    /// The server that it is about.
    pub fn worker(&self) -> Option<usize> {
        match *self {
            FaultAction::WorkerHangs { worker }
            | FaultAction::WorkerSilent { worker }
            | FaultAction::WorkerStopped { worker }
            | FaultAction::ConnectionsSilent { worker, .. }
            | FaultAction::WorkerResets { worker }
            | FaultAction::WorkerCrashes { worker }
            | FaultAction::WorkerDrains { worker }
            | FaultAction::WorkerTakes { worker }
            | FaultAction::WorkerRefusesLate { worker }
            | FaultAction::WorkerResetsLate { worker }
            | FaultAction::WorkerRejects { worker }
            | FaultAction::WorkerSpoils { worker }
            | FaultAction::WorkerSlow { worker }
            | FaultAction::WorkerForgets { worker } => Some(worker),
            _ => None,
        }
    }
}
