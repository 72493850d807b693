//! Settings of long-lived WebSocket connections: address, paths, servers and limits. "Session" means one client's
//! connection, which may move from server to server.

use super::ConfigError;
use fawnstream_sessions::{Rules, SlowStart};
use serde::Deserialize;
use shedrelay::{ClassId, Effect, KindId, Role, Settings, TenantId};
use shedrelay_settings::Names;
use std::net::SocketAddr;
use std::time::Duration;

/// A draining router spreads the closing of its connections over this time: the last one closes well within 2 s.
const DRAIN_DURATION_MS: u64 = 1_500;
/// Longest wait of a new connection in the queue for a server. Nothing may be held for over 500 ms without an attempt.
const MAX_QUEUE_WAIT_MS: u64 = 400;
/// One in this many slots is reserved for moves, which need connections to two servers for a moment.
const SLOTS_PER_MOVE_SLOT: usize = 8;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    kinds: Vec<String>,
    #[serde(default)]
    origins: Vec<String>,
    most: Option<usize>,
    most_at_server: usize,
    most_of_tenant: Option<usize>,
    load_tokens: f64,
    new_per_s: f64,
    #[serde(default)]
    moving: FileMoving,
    #[serde(default)]
    limits: FileLimits,
    #[serde(default)]
    resume: FileResume,
    #[serde(default)]
    path: Vec<FilePath>,
    #[serde(default)]
    key: Vec<super::openai::FileKey>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileMoving {
    most_waiting: usize,
    longest_wait_ms: u64,
}

impl Default for FileMoving {
    fn default() -> Self {
        FileMoving { most_waiting: 1_000, longest_wait_ms: 4_000 }
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
struct FileLimits {
    frame_kib: usize,
    message_kib: usize,
    ping_s: f64,
    pong_s: f64,
    idle_s: f64,
    upgrade_ms: u64,
}

impl Default for FileLimits {
    fn default() -> Self {
        FileLimits {
            frame_kib: 64,
            message_kib: 256,
            ping_s: 20.0,
            pong_s: 10.0,
            idle_s: 3_600.0,
            upgrade_ms: 1_000,
        }
    }
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileResume {
    id: Option<String>,
    ack: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct FilePath {
    path: String,
    class: String,
}

/// A path that clients may connect to.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The complete path.
    pub path: String,
    /// The class of its sessions.
    pub class: ClassId,
    /// An upgrade that may have reached its server may be retried.
    pub safe: bool,
}

/// Limits of each connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Largest size of a frame.
    pub max_frame_bytes: usize,
    /// Largest size of a message.
    pub max_message_bytes: usize,
    /// A peer that is silent for this long is sent a ping.
    pub ping_after: Duration,
    /// A peer that does not answer a ping in this time is considered dead.
    pub pong_timeout: Duration,
    /// A connection without messages for this long is closed.
    pub idle_timeout: Duration,
    /// Timeout of a server's answer to an upgrade.
    pub upgrade_timeout: Duration,
}

/// JSON members of a server's messages that are needed to resume a session at another server.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResumeFields {
    /// The member with the message's id.
    pub id: Option<String>,
    /// The member with the number of client messages that the server has processed.
    pub ack: Option<String>,
}

impl ResumeFields {
    /// Whether messages have to be parsed.
    pub fn any(&self) -> bool {
        self.id.is_some() || self.ack.is_some()
    }
}

/// Settings of WebSocket connections.
#[derive(Clone, Debug, PartialEq)]
pub struct WebSocket {
    /// Address for clients.
    pub listen: SocketAddr,
    /// Kinds of servers that take sessions.
    pub kinds: Vec<KindId>,
    /// Allowed origins, in lower case. If there are none, all are allowed.
    pub origins: Vec<String>,
    /// Load of one session on its server, in tokens of the server's memory.
    pub load_tokens: f64,
    /// Rules for admission and moves.
    pub rules: Rules,
    /// Limits of each connection.
    pub limits: Limits,
    /// JSON members needed to resume a session.
    pub resume: ResumeFields,
    /// Paths that clients may connect to.
    pub routes: Vec<Route>,
    /// Keys with their tenants. If there are none, clients need no key.
    pub keys: Vec<(String, TenantId)>,
}

/// Server connections available to sessions (half of all), and how many of these are not reserved for moves.
pub fn session_slots(server_sockets: usize) -> (usize, usize) {
    let slots = server_sockets / 2;
    (slots, slots - slots / SLOTS_PER_MOVE_SLOT)
}

impl WebSocket {
    /// Reads the file and validates it against the settings and the socket limit.
    pub fn load(
        path: &str,
        names: &Names,
        settings: &Settings,
        server_sockets: usize,
    ) -> Result<Self, ConfigError> {
        let invalid = |problem: String| ConfigError::Content { path: path.to_owned(), problem };
        let file: File = super::toml_file(path)?;
        let (_, slots) = session_slots(server_sockets);
        let max_sessions = file.most.unwrap_or(slots);
        let seconds = |name: &str, value: f64| {
            let in_range = value > 0.0 && value <= 86_400.0;
            in_range
                .then(|| Duration::from_secs_f64(value))
                .ok_or_else(|| invalid(format!("limits.{name} must be above 0 and at most 86400")))
        };
        let problem = match () {
            () if file.kinds.is_empty() => Some("kinds is empty".to_owned()),
            () if file.path.is_empty() => Some("no [[path]] is defined".to_owned()),
            () if max_sessions == 0 || max_sessions > slots => {
                Some(format!("most must be 1 to {slots}, the limit that follows from limits.sockets"))
            }
            () if file.most_at_server == 0 => Some("most_at_server must be at least 1".to_owned()),
            () if file.most_of_tenant == Some(0) => Some("most_of_tenant must be at least 1".to_owned()),
            () if !(file.load_tokens >= 0.0 && file.load_tokens <= 1e9) => {
                Some("load_tokens must be 0 to 1e9".to_owned())
            }
            () if !(file.new_per_s > 0.0 && file.new_per_s <= 1e6) => {
                Some("new_per_s must be above 0 and at most 1e6".to_owned())
            }
            () if !(1..=60_000).contains(&file.moving.longest_wait_ms) => {
                Some("moving.longest_wait_ms must be 1 to 60000".to_owned())
            }
            () if !(1..=1_024).contains(&file.limits.frame_kib) => {
                Some("limits.frame_kib must be 1 to 1024".to_owned())
            }
            () if !(file.limits.frame_kib..=16_384).contains(&file.limits.message_kib) => {
                Some("limits.message_kib must be frame_kib to 16384".to_owned())
            }
            () if !(1..=10_000).contains(&file.limits.upgrade_ms) => {
                Some("limits.upgrade_ms must be 1 to 10000".to_owned())
            }
            () => None,
        };
        if let Some(problem) = problem {
            return Err(invalid(problem));
        }
        let kind = |name: &String| {
            let index = names.kinds.iter().position(|known| known == name);
            let index = index.ok_or_else(|| invalid(format!("kind `{name}` is not in the settings")))?;
            if settings.kinds.get(index).is_none_or(|kind| kind.role == Role::Reader) {
                return Err(invalid(format!("kind `{name}` only reads: it cannot take connections")));
            }
            Ok(KindId(index))
        };
        let route = |entry: FilePath| {
            let index = names.classes.iter().position(|known| *known == entry.class);
            let index =
                index.ok_or_else(|| invalid(format!("class `{}` is not in the settings", entry.class)))?;
            if !entry.path.starts_with('/') || entry.path.contains(['?', '#', ' ']) {
                let rule = "must begin with / and contain no query, fragment or space";
                return Err(invalid(format!("path `{}` {rule}", entry.path)));
            }
            let safe = settings.classes.get(index).is_some_and(|class| class.effect == Effect::Safe);
            Ok(Route { path: entry.path, class: ClassId(index), safe })
        };
        let routers = settings.routers.max(1) as usize;
        let rules = Rules {
            routers: settings.routers,
            max_sessions,
            max_per_server: file.most_at_server.div_ceil(routers),
            max_per_tenant: file.most_of_tenant.unwrap_or(max_sessions),
            max_waiting_moves: file.moving.most_waiting,
            max_move_wait: file.moving.longest_wait_ms,
            // As many as the turns of all servers in a second could serve; the longest wait limits the queue further.
            max_queued: max_sessions.min(1_024),
            max_queue_wait: MAX_QUEUE_WAIT_MS,
            max_attempts: settings.max_attempts.clamp(1, 3),
            drain_duration: DRAIN_DURATION_MS,
            warm_opens_per_s: file.new_per_s,
            slow_start: SlowStart {
                cold_share: settings.rules.cold_share,
                warm_up: settings.rules.cold.0 / 1_000_000,
            },
        };
        Ok(WebSocket {
            listen: file.listen,
            kinds: file.kinds.iter().map(kind).collect::<Result<_, _>>()?,
            origins: file.origins.iter().map(|origin| origin.to_ascii_lowercase()).collect(),
            load_tokens: file.load_tokens,
            rules,
            limits: Limits {
                max_frame_bytes: file.limits.frame_kib * 1024,
                max_message_bytes: file.limits.message_kib * 1024,
                ping_after: seconds("ping_s", file.limits.ping_s)?,
                pong_timeout: seconds("pong_s", file.limits.pong_s)?,
                idle_timeout: seconds("idle_s", file.limits.idle_s)?,
                upgrade_timeout: Duration::from_millis(file.limits.upgrade_ms),
            },
            resume: ResumeFields { id: file.resume.id, ack: file.resume.ack },
            routes: file.path.into_iter().map(route).collect::<Result<_, _>>()?,
            keys: file.key.into_iter().map(|key| key.read(names, &invalid)).collect::<Result<_, _>>()?,
        })
    }
}
