//! The file that switches long-lived WebSocket connections on: where they come in, which servers take them, and what
//! bounds them.

use super::ConfigError;
use fawnstream_sessions::{Rules, SlowStart};
use serde::Deserialize;
use shedrelay::{ClassId, Effect, KindId, Role, Settings, TenantId};
use shedrelay_settings::Names;
use std::net::SocketAddr;
use std::time::Duration;

/// A drained router closes its connections over this time, so that the last one hears well before 2 s have passed.
const AWAY_OVER_MS: u64 = 1_500;
/// A new connection waits no longer for a server's turn: nothing is held over 500 ms without an attempt.
const LONGEST_ASK_MS: u64 = 400;
/// Of the places one in so many is for moves, which have two servers' connections for a moment.
const MOVES_PART: usize = 8;

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

/// What a path stands for.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The path, whole.
    pub path: String,
    /// Its class.
    pub class: ClassId,
    /// An upgrade that may have run may be made again.
    pub safe: bool,
}

/// Bounds of each connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A frame's largest size.
    pub max_frame_bytes: usize,
    /// A message's.
    pub max_message_bytes: usize,
    /// A peer that is silent for so long is asked for a sign.
    pub ping_after: Duration,
    /// And has gone if none comes in this time.
    pub pong_timeout: Duration,
    /// A connection without a message for so long is closed.
    pub idle_timeout: Duration,
    /// A server answers an upgrade in this time.
    pub upgrade_timeout: Duration,
}

/// Which members of a server's messages tell their id, and how many of the client's messages it has dealt with.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResumeFields {
    /// The id's member.
    pub id: Option<String>,
    /// The member that counts the client's messages that are done.
    pub ack: Option<String>,
}

impl ResumeFields {
    /// Whether messages are looked into.
    pub fn any(&self) -> bool {
        self.id.is_some() || self.ack.is_some()
    }
}

/// The settings of long-lived connections.
#[derive(Clone, Debug, PartialEq)]
pub struct WebSocket {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Kinds of machines that take them.
    pub kinds: Vec<KindId>,
    /// Origins that may; with none all may.
    pub origins: Vec<String>,
    /// What one weighs at its server, in tokens of its memory.
    pub load_tokens: f64,
    /// What the decisions go by.
    pub rules: Rules,
    /// Bounds of each connection.
    pub limits: Limits,
    /// How messages tell what resuming needs.
    pub resume: ResumeFields,
    /// Paths.
    pub routes: Vec<Route>,
    /// Keys and whose they are; with none, any client is let in.
    pub keys: Vec<(String, TenantId)>,
}

/// Places that long-lived connections may take of those for servers: half, and of these some are for moves.
pub fn session_slots(server_sockets: usize) -> (usize, usize) {
    let places = server_sockets / 2;
    (places, places - places / MOVES_PART)
}

impl WebSocket {
    /// Reads the file and checks that it fits the settings and the limits.
    pub fn load(
        path: &str,
        names: &Names,
        settings: &Settings,
        server_sockets: usize,
    ) -> Result<Self, ConfigError> {
        let wrong = |problem: String| ConfigError::Content { path: path.to_owned(), problem };
        let told: File = super::toml_file(path)?;
        let (_, room) = session_slots(server_sockets);
        let most = told.most.unwrap_or(room);
        let seconds = |name: &str, value: f64| {
            let fits = value > 0.0 && value <= 86_400.0;
            fits.then(|| Duration::from_secs_f64(value))
                .ok_or_else(|| wrong(format!("limits.{name} must be above 0 and at most 86400")))
        };
        let problem = match () {
            () if told.kinds.is_empty() => Some("kinds is empty".to_owned()),
            () if told.path.is_empty() => Some("no path".to_owned()),
            () if most == 0 || most > room => Some(format!("most must be 1 to {room}, by limits.sockets")),
            () if told.most_at_server == 0 => Some("most_at_server must be at least 1".to_owned()),
            () if told.most_of_tenant == Some(0) => Some("most_of_tenant must be at least 1".to_owned()),
            () if !(told.load_tokens >= 0.0 && told.load_tokens <= 1e9) => {
                Some("load_tokens must be 0 to 1e9".to_owned())
            }
            () if !(told.new_per_s > 0.0 && told.new_per_s <= 1e6) => {
                Some("new_per_s must be above 0 and at most 1e6".to_owned())
            }
            () if !(1..=60_000).contains(&told.moving.longest_wait_ms) => {
                Some("moving.longest_wait_ms must be 1 to 60000".to_owned())
            }
            () if !(1..=1_024).contains(&told.limits.frame_kib) => {
                Some("limits.frame_kib must be 1 to 1024".to_owned())
            }
            () if !(told.limits.frame_kib..=16_384).contains(&told.limits.message_kib) => {
                Some("limits.message_kib must be frame_kib to 16384".to_owned())
            }
            () if !(1..=10_000).contains(&told.limits.upgrade_ms) => {
                Some("limits.upgrade_ms must be 1 to 10000".to_owned())
            }
            () => None,
        };
        if let Some(problem) = problem {
            return Err(wrong(problem));
        }
        let kind = |name: &String| {
            let place = names.kinds.iter().position(|known| known == name);
            let place = place.ok_or_else(|| wrong(format!("kind `{name}` is not in the settings")))?;
            if settings.kinds.get(place).is_none_or(|kind| kind.role == Role::Reader) {
                return Err(wrong(format!("kind `{name}` only reads: it cannot take connections")));
            }
            Ok(KindId(place))
        };
        let route = |told: FilePath| {
            let place = names.classes.iter().position(|known| *known == told.class);
            let place =
                place.ok_or_else(|| wrong(format!("class `{}` is not in the settings", told.class)))?;
            if !told.path.starts_with('/') || told.path.contains(['?', '#', ' ']) {
                return Err(wrong(format!("path `{}` must begin with / and be a path alone", told.path)));
            }
            let safe = settings.classes.get(place).is_some_and(|class| class.effect == Effect::Safe);
            Ok(Route { path: told.path, class: ClassId(place), safe })
        };
        let routers = settings.routers.max(1) as usize;
        let rules = Rules {
            routers: settings.routers,
            max_sessions: most,
            max_per_server: told.most_at_server.div_ceil(routers),
            max_per_tenant: told.most_of_tenant.unwrap_or(most),
            max_waiting_moves: told.moving.most_waiting,
            max_move_wait: told.moving.longest_wait_ms,
            // As many as all turns of a second could serve; the wait bounds them further.
            max_queued: most.min(1_024),
            max_queue_wait: LONGEST_ASK_MS,
            max_attempts: settings.max_attempts.clamp(1, 3),
            drain_duration: AWAY_OVER_MS,
            warm_opens_per_s: told.new_per_s,
            slow_start: SlowStart {
                cold_share: settings.rules.cold_share,
                warm_up: settings.rules.cold.0 / 1_000_000,
            },
        };
        Ok(WebSocket {
            listen: told.listen,
            kinds: told.kinds.iter().map(kind).collect::<Result<_, _>>()?,
            origins: told.origins.iter().map(|origin| origin.to_ascii_lowercase()).collect(),
            load_tokens: told.load_tokens,
            rules,
            limits: Limits {
                max_frame_bytes: told.limits.frame_kib * 1024,
                max_message_bytes: told.limits.message_kib * 1024,
                ping_after: seconds("ping_s", told.limits.ping_s)?,
                pong_timeout: seconds("pong_s", told.limits.pong_s)?,
                idle_timeout: seconds("idle_s", told.limits.idle_s)?,
                upgrade_timeout: Duration::from_millis(told.limits.upgrade_ms),
            },
            resume: ResumeFields { id: told.resume.id, ack: told.resume.ack },
            routes: told.path.into_iter().map(route).collect::<Result<_, _>>()?,
            keys: told.key.into_iter().map(|key| key.read(names, &wrong)).collect::<Result<_, _>>()?,
        })
    }
}
