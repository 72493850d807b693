//! The simulator's protocol: reads lines of JSON arrays as events and writes actions as lines. Each instance has its
//! own [`Router`].

mod fields;

use fields::Fields;
use serde_json::{Value, json};
use shedrelay::*;
use shedrelay_settings::{Names, RawSettings};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

/// An error in a line of input.
#[derive(Debug, thiserror::Error)]
pub enum InputError {
    /// Not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Not an array that begins with an event's name.
    #[error("a message must be an array that begins with its name")]
    NotAnEvent,
    /// Unknown event.
    #[error("unknown event `{0}`")]
    UnknownEvent(String),
    /// Wrong number of values.
    #[error("`{event}`: expected {expected} values, found {found}")]
    ValueCount {
        /// The event.
        event: String,
        /// Number of values expected.
        expected: &'static str,
        /// Number of values found.
        found: usize,
    },
    /// An invalid value.
    #[error("`{event}`: field `{field}`: {problem}")]
    Field {
        /// The event.
        event: String,
        /// The field.
        field: &'static str,
        /// What is wrong with the value.
        problem: String,
    },
    /// An event outside of a batch, or a batch within another.
    #[error("`{0}` out of place")]
    OutOfPlace(String),
}

struct Instance {
    router: Router,
    names: Names,
}

/// All router instances of this process.
#[derive(Default)]
pub struct Adapter {
    instances: BTreeMap<String, Instance>,
    clock: Option<Time>,
    reply: String,
    actions: Vec<Action>,
}

impl Adapter {
    /// Handles one line; returns the reply if the line ended a batch.
    pub fn handle_line(&mut self, line: &str) -> Result<Option<String>, InputError> {
        let mut fields = Fields::parse(line)?;
        match (fields.event(), self.clock) {
            ("sync", None) => {
                fields.check_count(1, 1, "1")?;
                self.clock = Some(Time(fields.integer("clock")?));
            }
            ("flush", Some(_)) => {
                fields.check_count(0, 0, "no")?;
                self.clock = None;
                self.reply.push_str("[\"done\"]\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            ("sync" | "flush", _) => return Err(InputError::OutOfPlace(fields.event().to_owned())),
            (_, Some(now)) => self.handle_event(now, fields)?,
            (_, None) => return Err(InputError::OutOfPlace(fields.event().to_owned())),
        }
        Ok(None)
    }

    /// Handles the end of input.
    pub fn handle_end(&self) -> Result<(), String> {
        if self.clock.is_some() { Err("the input ended inside a batch".to_owned()) } else { Ok(()) }
    }

    fn handle_event(&mut self, now: Time, mut fields: Fields) -> Result<(), InputError> {
        let (least, most, text) = match fields.event() {
            "hello" => (3, 3, "3"),
            "stop" => (1, 1, "1"),
            "members" => (4, 4, "4"),
            "ask" => (12, 12, "12"),
            "started" => (5, 5, "5"),
            "note" => (6, 6, "6"),
            "returned" => (9, 9, "9"),
            "lapsed" | "wakeup" => (2, 2, "2"),
            "checked" => (5, 5, "5"),
            "neighbour_says" => (3, 3, "3"),
            other => return Err(InputError::UnknownEvent(other.to_owned())),
        };
        fields.check_count(least, most, text)?;
        let name = fields.text("i")?;
        if fields.event() == "hello" {
            let seed = fields.integer("nonce64")?;
            let raw: RawSettings = serde_json::from_value(fields.value("settings")?)
                .map_err(|error| fields.error("settings", error.to_string()))?;
            let (settings, names) = raw.into_settings().map_err(|error| fields.error("settings", error))?;
            let router =
                Router::new(settings, seed).map_err(|error| fields.error("settings", error.to_string()))?;
            self.instances.insert(name, Instance { router, names });
            return Ok(());
        }
        if fields.event() == "stop" {
            return match self.instances.remove(&name) {
                Some(_) => Ok(()),
                None => Err(fields.error("i", format!("unknown instance `{name}`"))),
            };
        }
        let Some(instance) = self.instances.get_mut(&name) else {
            return Err(fields.error("i", format!("unknown instance `{name}`")));
        };
        if let Some(event) = read_event(&mut fields, &instance.names)? {
            instance.router.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                // Writing to a string cannot fail.
                let _ = writeln!(self.reply, "{}", action_line(&name, action));
            }
        }
        Ok(())
    }
}

/// Reads an event; `None` for one that routers do not use.
fn read_event(fields: &mut Fields, names: &Names) -> Result<Option<Event>, InputError> {
    let event = match fields.event() {
        "members" => Event::Members(read_members(fields, names)?),
        "ask" => Event::Request(read_request(fields, names)?),
        "started" => {
            let request = RequestId(fields.integer("req")?);
            let attempt = Attempt(fields.integer_32("try")?);
            read_server(fields)?;
            fields.integer("delay_seen")?;
            Event::FirstToken { request, attempt }
        }
        "returned" => read_outcome(fields)?,
        "lapsed" => Event::ClientLeft(RequestId(fields.integer("req")?)),
        "wakeup" => Event::Timer(TimerId(fields.integer("token")?)),
        "checked" => {
            fields.integer("delay_seen")?;
            let server = read_server(fields)?;
            let ok = read_verdict(fields)? == Verdict::Ok;
            Event::Probed { server, ok, report: read_report(fields)? }
        }
        "note" => {
            fields.integer("req")?;
            fields.number("x")?;
            fields.integer_32("try")?;
            fields.integer_32("kind")?;
            read_server(fields)?;
            return Ok(None);
        }
        _ => {
            fields.integer_32("origin_peer")?;
            fields.text("blob")?;
            return Ok(None);
        }
    };
    Ok(Some(event))
}

fn parse_server(text: &str) -> Result<ServerId, String> {
    let address: SocketAddrV4 = text.parse().map_err(|_| format!("`{text}` is not address:port"))?;
    Ok(ServerId(u64::from(u32::from(*address.ip())) << 16 | u64::from(address.port())))
}

fn server_text(server: ServerId) -> String {
    let [.., a, b, c, d, high, low] = server.0.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(a, b, c, d), u16::from_be_bytes([high, low])).to_string()
}

fn read_server(fields: &mut Fields) -> Result<ServerId, InputError> {
    let text = fields.text("worker")?;
    parse_server(&text).map_err(|problem| fields.error("worker", problem))
}

fn read_key(fields: &mut Fields, field: &'static str) -> Result<Option<Key>, InputError> {
    let Some(text) = fields.optional_text(field)? else {
        return Ok(None);
    };
    let key = u64::from_str_radix(&text, 16).ok().filter(|_| text.len() == 16);
    key.map(|key| Some(Key(key))).ok_or_else(|| fields.error(field, format!("`{text}` is not 16 hex digits")))
}

fn read_members(fields: &mut Fields, names: &Names) -> Result<Members, InputError> {
    fields.integer("generation")?;
    let kind = fields.text("kind")?;
    let lines = fields.value("lines")?;
    let lines = match lines {
        Value::Null => Vec::new(),
        Value::Array(lines) => lines,
        _ => return Err(fields.error("lines", "expected an array".to_owned())),
    };
    let entries = lines.into_iter().map(|line| read_member(line, names)).collect::<Result<Vec<_>, _>>()?;
    match kind.as_str() {
        "diff" => Ok(Members::Changes(entries)),
        "snapshot" | "disk" => Ok(Members::Full(entries)),
        "error" => Ok(Members::Failed),
        other => Err(fields.error("kind", format!("unknown kind `{other}`"))),
    }
}

fn read_member(line: Value, names: &Names) -> Result<Member, InputError> {
    let Value::Array(values) = line else {
        return Err(InputError::Field {
            event: "members".to_owned(),
            field: "lines",
            problem: "each entry must be an array".to_owned(),
        });
    };
    let mut fields = Fields::entry("members", values);
    fields.check_count(7, 7, "7 entry")?;
    let state = match fields.text("state")?.as_str() {
        "active" => ServerState::Active,
        "leaving" => ServerState::Draining,
        "left" => ServerState::Removed,
        other => return Err(fields.error("state", format!("unknown state `{other}`"))),
    };
    let cell = CellId(fields.integer("cluster")?);
    let kind = fields.named("type", &names.kinds)?;
    let server = read_server(&mut fields)?;
    let zone = fields.named("zone", &names.zones)?;
    let up_since = fields.optional_integer("up_since")?.filter(|up| *up > 0).map(Time);
    fields.optional_number("scale")?;
    Ok(Member { server, state, kind: KindId(kind), zone: ZoneId(zone), cell, up_since })
}

fn read_request(fields: &mut Fields, names: &Names) -> Result<Request, InputError> {
    let id = RequestId(fields.integer("req")?);
    let session = read_key(fields, "talk")?;
    let prefix_len = fields.optional_number("shared_len")?.unwrap_or(0.0);
    let max_out = fields.number("n_max")?;
    let prompt_len = fields.number("n_prompt")?;
    let budget = Span(fields.integer("budget")?);
    let class = ClassId(fields.named("qos", &names.classes)?);
    let prefix = read_key(fields, "shared_prefix")?.filter(|prefix| prefix.0 != 0);
    fields.optional_integer("bits")?;
    fields.optional_integer("predicted")?;
    let tenant = fields.optional_named("billing", &names.tenants)?.map(TenantId);
    Ok(Request { id, session, prefix, prefix_len, prompt_len, max_out, budget, class, tenant })
}

fn read_verdict(fields: &mut Fields) -> Result<Verdict, InputError> {
    Ok(match fields.text("verdict")?.as_str() {
        "pass" => Verdict::Ok,
        "read" => Verdict::Read,
        "fault" => Verdict::Error,
        "no_room" => Verdict::Full,
        "too_slow" => Verdict::Timeout,
        "no_route" => Verdict::NoRoute,
        "cut" => Verdict::Reset,
        "undone" => Verdict::Cancelled,
        "stale_send" => Verdict::Moot,
        other => return Err(fields.error("verdict", format!("unknown verdict `{other}`"))),
    })
}

fn read_outcome(fields: &mut Fields) -> Result<Event, InputError> {
    let request = RequestId(fields.integer("req")?);
    fields.integer("delay_seen")?;
    let attempt = Attempt(fields.integer_32("try")?);
    let verdict = read_verdict(fields)?;
    read_server(fields)?;
    let settled = fields.optional_bool("settled")?.unwrap_or(false);
    let info = fields.optional_number("info")?;
    let report = read_report(fields)?;
    let verdict = if verdict == Verdict::Full && info == Some(1.0) { Verdict::NoState } else { verdict };
    let kept = info.filter(|_| matches!(verdict, Verdict::Ok | Verdict::Read));
    Ok(Event::Outcome(Outcome {
        request,
        attempt,
        verdict,
        // The simulator reports how an attempt really ended.
        evidence: Evidence::Server,
        settled,
        cached_tokens: kept,
        report,
    }))
}

fn read_report(fields: &mut Fields) -> Result<Option<Report>, InputError> {
    let share = match fields.value("stats")? {
        Value::Null => None,
        Value::Object(values) => match values.get("x0") {
            None | Some(Value::Null) => None,
            Some(value) => Some(
                value.as_f64().ok_or_else(|| fields.error("stats", "`x0` must be a number".to_owned()))?,
            ),
        },
        _ => return Err(fields.error("stats", "expected an object".to_owned())),
    };
    Ok(share.map(|memory_share| Report { memory_share }))
}

/// The line for an action.
fn action_line(instance: &str, action: Action) -> Value {
    match action {
        Action::Send { request, server, timeout } => {
            json!(["send", instance, request.0, timeout.map_or(0, |t| t.0), server_text(server)])
        }
        Action::Cancel { request, attempt } => json!(["call_off", instance, request.0, attempt.0]),
        Action::Refuse { request, backoff } => {
            json!(["not_now", instance, request.0, backoff.map(|b| b.0)])
        }
        Action::Fail(request) => json!(["finish_error", instance, request.0]),
        Action::Release(request) => json!(["release", instance, request.0]),
        Action::Timer { timer, after } => json!(["arm", instance, timer.0, after.0]),
        Action::Probe(server) => json!(["probe", instance, server_text(server)]),
        Action::Subscribe => json!(["stream_changes", instance, true]),
    }
}
