//! The faults that a plan can have.

use serde::{Deserialize, Serialize};

/// A fault and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fault {
    /// Start, counted from the end of the quiet time.
    pub at_ms: u64,
    /// Duration.
    pub for_ms: u64,
    /// What happens.
    #[serde(flatten)]
    pub action: FaultAction,
}

/// A router's system call that fails, one for each `fawnstream_faults::FaultKind` of the same name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SystemCall {
    /// `accept4`: errors of the new connection, and temporary ones.
    Accept,
    /// `connect`: no local address, no route, refused, timed out.
    Connect,
    /// `socket`: the system's file table or memory is temporarily full.
    Socket,
    /// `epoll_wait`: EINTR.
    Wait,
    /// Short reads and writes of sockets.
    Short,
    /// `accept4`: the process is out of descriptors.
    Exhausted,
}

/// The servers that a fault of a whole role affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SilentRole {
    /// All servers that read.
    Readers,
    /// All servers that write.
    Writers,
}

/// What a fault does. Routers and servers are given by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum FaultAction {
    /// SIGTERM, SIGKILL if the process has not exited in time, and a new process.
    RouterStops {
        /// The router's number.
        router: usize,
    },
    /// SIGTERM, SIGHUP and SIGTERM in quick succession, SIGKILL if the process has not exited in time, and a new
    /// process.
    RouterSignals {
        /// The router's number.
        router: usize,
    },
    /// SIGKILL, and a new process.
    RouterKilled {
        /// The router's number.
        router: usize,
    },
    /// SIGHUP.
    RouterReloads {
        /// The router's number.
        router: usize,
    },
    /// SIGSTOP, and SIGCONT at the end.
    RouterFrozen {
        /// The router's number.
        router: usize,
    },
    /// The server's machine accepts requests, and its process never reads them.
    WorkerHangs {
        /// The server's number.
        worker: usize,
    },
    /// No bytes pass in either direction; all the server's connections are reset at the end.
    WorkerSilent {
        /// The server's number.
        worker: usize,
    },
    /// The server's process stops. Its machine accepts bytes, and the process handles them when it continues.
    WorkerStopped {
        /// The server's number.
        worker: usize,
    },
    /// A share of the server's connections, old and new, falls silent for good. The server itself is healthy.
    ConnectionsSilent {
        /// The server's number.
        worker: usize,
        /// Share of the connections.
        per_mille: u32,
    },
    /// No bytes pass to or from any server of a role; all their connections are reset at the end.
    RoleSilent {
        /// The role.
        role: SilentRole,
    },
    /// All the server's connections are reset once.
    WorkerResets {
        /// The server's number.
        worker: usize,
    },
    /// The server's process dies, and a new one begins its slow start at the end.
    WorkerCrashes {
        /// The server's number.
        worker: usize,
    },
    /// Discovery lists the server as leaving, and as active again at the end.
    WorkerDrains {
        /// The server's number.
        worker: usize,
    },
    /// The server's process takes requests and never answers.
    WorkerTakes {
        /// The server's number.
        worker: usize,
    },
    /// All servers of a role take requests and never answer.
    RoleTakes {
        /// The role.
        role: SilentRole,
    },
    /// The server takes requests and rejects them later.
    WorkerRefusesLate {
        /// The server's number.
        worker: usize,
    },
    /// The server takes requests and resets their connections later.
    WorkerResetsLate {
        /// The server's number.
        worker: usize,
    },
    /// The server rejects requests.
    WorkerRejects {
        /// The server's number.
        worker: usize,
    },
    /// The server's answers break in the middle: garbage, or half a chunk and a close.
    WorkerSpoils {
        /// The server's number.
        worker: usize,
    },
    /// The server takes ten times as long.
    WorkerSlow {
        /// The server's number.
        worker: usize,
    },
    /// The server closes idle connections at once.
    WorkerForgets {
        /// The server's number.
        worker: usize,
    },
    /// Discovery's agents send nothing, and learn nothing.
    DiscoverySilent,
    /// All watches are reset once.
    DiscoveryResets,
    /// System calls of one router fail.
    SystemCalls {
        /// The router's number.
        router: usize,
        /// The system call.
        call: SystemCall,
        /// Share of the calls.
        per_mille: u32,
    },
    /// Writes and syncs of one router's ledger fail.
    DiskFails {
        /// The router's number.
        router: usize,
    },
    /// One router's wall clock is stepped, until the end of the run.
    WallClock {
        /// The router's number.
        router: usize,
        /// Size of the step.
        step_ms: i64,
    },
    /// Most clients leave before their answer ends.
    ClientsLeave,
    /// Some clients send part of a request and wait.
    ClientsHalf,
    /// The request rate doubles.
    Burst,
}

impl FaultAction {
    /// The router that the fault affects, if it is one router.
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

    /// The server that the fault affects, if it is one server.
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
