//! The wire: lines of JSON arrays to events, and actions to lines. One [`Router`] for each instance.

mod fields;

use fields::Fields;
use serde_json::{Value, json};
use shedrelay::*;
use shedrelay_settings::{Names, RawSettings};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

/// What is wrong with a line of input.
#[derive(Debug, thiserror::Error)]
pub enum Malformed {
    /// Not JSON.
    #[error("not JSON: {0}")]
    Json(#[from] serde_json::Error),
    /// Not an array that begins with a name.
    #[error("a message must be an array that begins with its name")]
    Shape,
    /// A name that is no event's.
    #[error("unknown event `{0}`")]
    Unknown(String),
    /// Too few or too many values.
    #[error("`{event}`: expected {expected} values, found {found}")]
    Arity {
        /// The event.
        event: String,
        /// Values that it has.
        expected: &'static str,
        /// Values that came.
        found: usize,
    },
    /// A value of the wrong form.
    #[error("`{event}`: field `{field}`: {problem}")]
    Field {
        /// The event.
        event: String,
        /// The field.
        field: &'static str,
        /// What is wrong.
        problem: String,
    },
    /// An event outside a batch, or a batch inside another.
    #[error("`{0}` out of place")]
    Place(String),
}

struct Instance {
    router: Router,
    names: Names,
}

/// All instances of this process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<String, Instance>,
    clock: Option<Time>,
    reply: String,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line; gives the reply when the line ended a batch.
    pub fn line(&mut self, line: &str) -> Result<Option<String>, Malformed> {
        let mut fields = Fields::parse(line)?;
        match (fields.event(), self.clock) {
            ("sync", None) => {
                fields.arity(1, 1, "1")?;
                self.clock = Some(Time(fields.whole("clock")?));
            }
            ("flush", Some(_)) => {
                fields.arity(0, 0, "no")?;
                self.clock = None;
                self.reply.push_str("[\"done\"]\n");
                return Ok(Some(std::mem::take(&mut self.reply)));
            }
            ("sync" | "flush", _) => return Err(Malformed::Place(fields.event().to_owned())),
            (_, Some(now)) => self.event(now, fields)?,
            (_, None) => return Err(Malformed::Place(fields.event().to_owned())),
        }
        Ok(None)
    }

    /// The input ended.
    pub fn end(&self) -> Result<(), String> {
        if self.clock.is_some() { Err("the input ended inside a batch".to_owned()) } else { Ok(()) }
    }

    fn event(&mut self, now: Time, mut fields: Fields) -> Result<(), Malformed> {
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
            other => return Err(Malformed::Unknown(other.to_owned())),
        };
        fields.arity(least, most, text)?;
        let name = fields.text("i")?;
        if fields.event() == "hello" {
            let seed = fields.whole("nonce64")?;
            let raw: RawSettings = serde_json::from_value(fields.any("settings")?)
                .map_err(|error| fields.wrong("settings", error.to_string()))?;
            let (settings, names) = raw.into_settings().map_err(|error| fields.wrong("settings", error))?;
            let router =
                Router::new(settings, seed).map_err(|error| fields.wrong("settings", error.to_string()))?;
            self.instances.insert(name, Instance { router, names });
            return Ok(());
        }
        if fields.event() == "stop" {
            return match self.instances.remove(&name) {
                Some(_) => Ok(()),
                None => Err(fields.wrong("i", format!("unknown instance `{name}`"))),
            };
        }
        let Some(instance) = self.instances.get_mut(&name) else {
            return Err(fields.wrong("i", format!("unknown instance `{name}`")));
        };
        if let Some(event) = translate(&mut fields, &instance.names)? {
            instance.router.handle(now, event, &mut self.actions);
            for action in self.actions.drain(..) {
                // Writing to a string cannot fail.
                let _ = writeln!(self.reply, "{}", write(&name, action));
            }
        }
        Ok(())
    }
}

/// An event of the interface; none for what the module has no use for.
fn translate(fields: &mut Fields, names: &Names) -> Result<Option<Event>, Malformed> {
    let event = match fields.event() {
        "members" => Event::Members(members(fields, names)?),
        "ask" => Event::Request(request(fields, names)?),
        "started" => {
            let request = RequestId(fields.whole("req")?);
            let attempt = Attempt(fields.small("try")?);
            server(fields)?;
            fields.whole("delay_seen")?;
            Event::FirstToken { request, attempt }
        }
        "returned" => outcome(fields)?,
        "lapsed" => Event::ClientLeft(RequestId(fields.whole("req")?)),
        "wakeup" => Event::Timer(TimerId(fields.whole("token")?)),
        "checked" => {
            fields.whole("delay_seen")?;
            let server = server(fields)?;
            let ok = verdict(fields)? == Verdict::Ok;
            Event::Probed { server, ok, report: report(fields)? }
        }
        "note" => {
            fields.whole("req")?;
            fields.number("x")?;
            fields.small("try")?;
            fields.small("kind")?;
            server(fields)?;
            return Ok(None);
        }
        _ => {
            fields.small("origin_peer")?;
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

fn server(fields: &mut Fields) -> Result<ServerId, Malformed> {
    let text = fields.text("worker")?;
    parse_server(&text).map_err(|problem| fields.wrong("worker", problem))
}

fn key(fields: &mut Fields, field: &'static str) -> Result<Option<Key>, Malformed> {
    let Some(text) = fields.maybe_text(field)? else {
        return Ok(None);
    };
    let key = u64::from_str_radix(&text, 16).ok().filter(|_| text.len() == 16);
    key.map(|key| Some(Key(key))).ok_or_else(|| fields.wrong(field, format!("`{text}` is not 16 hex digits")))
}

fn members(fields: &mut Fields, names: &Names) -> Result<Members, Malformed> {
    fields.whole("generation")?;
    let kind = fields.text("kind")?;
    let lines = fields.any("lines")?;
    let lines = match lines {
        Value::Null => Vec::new(),
        Value::Array(lines) => lines,
        _ => return Err(fields.wrong("lines", "expected an array".to_owned())),
    };
    let entries = lines.into_iter().map(|line| member(line, names)).collect::<Result<Vec<_>, _>>()?;
    match kind.as_str() {
        "diff" => Ok(Members::Changes(entries)),
        "snapshot" | "disk" => Ok(Members::Full(entries)),
        "error" => Ok(Members::Failed),
        other => Err(fields.wrong("kind", format!("unknown kind `{other}`"))),
    }
}

fn member(line: Value, names: &Names) -> Result<Member, Malformed> {
    let Value::Array(values) = line else {
        return Err(Malformed::Field {
            event: "members".to_owned(),
            field: "lines",
            problem: "each entry must be an array".to_owned(),
        });
    };
    let mut fields = Fields::entry("members", values);
    fields.arity(7, 7, "7 in an entry; 7")?;
    let state = match fields.text("state")?.as_str() {
        "active" => ServerState::Active,
        "leaving" => ServerState::Leaving,
        "left" => ServerState::Left,
        other => return Err(fields.wrong("state", format!("unknown state `{other}`"))),
    };
    let cell = CellId(fields.whole("cluster")?);
    let kind = fields.named("type", &names.kinds)?;
    let server = server(&mut fields)?;
    let zone = fields.named("zone", &names.zones)?;
    let up_since = fields.maybe_whole("up_since")?.filter(|up| *up > 0).map(Time);
    fields.maybe_number("scale")?;
    Ok(Member { server, state, kind: KindId(kind), zone: ZoneId(zone), cell, up_since })
}

fn request(fields: &mut Fields, names: &Names) -> Result<Request, Malformed> {
    let id = RequestId(fields.whole("req")?);
    let session = key(fields, "talk")?;
    let prefix_len = fields.maybe_number("shared_len")?.unwrap_or(0.0);
    let max_out = fields.number("n_max")?;
    let prompt_len = fields.number("n_prompt")?;
    let budget = Span(fields.whole("budget")?);
    let class = ClassId(fields.named("qos", &names.classes)?);
    let prefix = key(fields, "shared_prefix")?.filter(|prefix| prefix.0 != 0);
    fields.maybe_whole("bits")?;
    fields.maybe_whole("predicted")?;
    let tenant = fields.maybe_named("billing", &names.tenants)?.map(TenantId);
    Ok(Request { id, session, prefix, prefix_len, prompt_len, max_out, budget, class, tenant })
}

fn verdict(fields: &mut Fields) -> Result<Verdict, Malformed> {
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
        other => return Err(fields.wrong("verdict", format!("unknown verdict `{other}`"))),
    })
}

fn outcome(fields: &mut Fields) -> Result<Event, Malformed> {
    let request = RequestId(fields.whole("req")?);
    fields.whole("delay_seen")?;
    let attempt = Attempt(fields.small("try")?);
    let verdict = verdict(fields)?;
    server(fields)?;
    let settled = fields.maybe_flag("settled")?.unwrap_or(false);
    let info = fields.maybe_number("info")?;
    let report = report(fields)?;
    let verdict = if verdict == Verdict::Full && info == Some(1.0) { Verdict::NoState } else { verdict };
    let kept = info.filter(|_| matches!(verdict, Verdict::Ok | Verdict::Read));
    Ok(Event::Outcome(Outcome {
        request,
        attempt,
        verdict,
        // The simulator tells an end when there is one.
        evidence: Evidence::Server,
        settled,
        kept,
        report,
    }))
}

fn report(fields: &mut Fields) -> Result<Option<Report>, Malformed> {
    let share = match fields.any("stats")? {
        Value::Null => None,
        Value::Object(values) => match values.get("x0") {
            None | Some(Value::Null) => None,
            Some(value) => Some(
                value.as_f64().ok_or_else(|| fields.wrong("stats", "`x0` must be a number".to_owned()))?,
            ),
        },
        _ => return Err(fields.wrong("stats", "expected an object".to_owned())),
    };
    Ok(share.map(|memory_share| Report { memory_share }))
}

/// An action as a line.
fn write(instance: &str, action: Action) -> Value {
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
