//! Case: a planned restart while some clients write slowly.

use crate::common::{Case, Discovery, Member, Random, Record, Router, sleep_ms};
use crate::servers::{Ask, Outcome, Server, States};
use crate::wire::Conn;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Restarts, each of a router of its own, one after the other.
const RESTARTS: usize = 3;
/// Clients of each, each with one connection, that begin to ask by and by. Every third writes slowly.
const CLIENTS: usize = 180;
/// In this time all clients have begun, in milliseconds.
const BEGIN_MS: f64 = 9_000.0;
/// How long a slow client takes to write a request, in milliseconds. The pages set no limit for those that "write
/// slowly"; bad clients are owed an error or a close within 3 s.
const SLOW_MS: f64 = 1_200.0;
/// Pieces in which a slow client writes.
const PIECES: usize = 12;
/// "SIGKILL follows SIGTERM no sooner than the longest deadline (taken as 3 s where it is longer) plus 0.7 s."
const KILL_AFTER: Duration = Duration::from_millis(3_700);
/// "if that request came more than 0.7 s after SIGTERM"; "every time limit is 50 ms longer".
const LATE_AFTER: Duration = Duration::from_millis(750);
/// New connections keep coming for so long behind SIGTERM: "For 0.2 to 0.4 s".
const NEW_CONNECTIONS: Duration = Duration::from_millis(300);

/// When the router was told to end, and whether it has been killed.
#[derive(Default)]
struct Restart {
    told: Mutex<Option<Instant>>,
    over: AtomicBool,
}

impl Restart {
    fn told(&self) -> Option<Instant> {
        *self.told.lock().unwrap()
    }

    /// Whether clients may still open connections to the router.
    fn open_to_new(&self) -> bool {
        self.told().is_none_or(|told| told.elapsed() < NEW_CONNECTIONS)
    }
}

/// Plays the case.
pub fn play(case: &Case) -> ! {
    let discovery = Discovery::default();
    let states = States::default();
    for number in 0..9 {
        let reads = number < 5;
        let id = if reads { format!("s-read{number}") } else { format!("s-write{}", number - 5) };
        let server = Arc::new(Server {
            id: id.clone(),
            reads,
            states: states.clone(),
            record: case.record.clone(),
            second_answers: 0.0,
            // Answers of 40 to 310 tokens, one every 35 to 70 ms; an event for four tokens.
            events: (10, 78),
            event_ms: (140.0, 280.0),
            inflight: AtomicU64::new(0),
            second_sent: Arc::default(),
        });
        discovery.set(Member::new(&id, server.start(), if reads { "prefill" } else { "decode" }));
    }
    let limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
    let config = case.config("router", discovery.start(), &discovery.whole(), limits);
    let counts: [Arc<AtomicU64>; 4] = Default::default();
    for round in 0..RESTARTS {
        play_restart(case, &config, round, &counts);
    }
    let [asked, served, excused, lost] = counts.map(|count| count.load(Ordering::Relaxed));
    let text = format!(
        "{asked} asked, {served} whole, {excused} cut that came before, {lost} lost that came over 0.7 s after SIGTERM"
    );
    if served == 0 {
        case.verdict(2, &text);
    }
    case.verdict(i32::from(lost > 0), &text)
}

/// One router from its start to SIGKILL.
fn play_restart(case: &Case, config: &Path, round: usize, counts: &[Arc<AtomicU64>; 4]) {
    let mut router = Router::start(case, ["first", "second", "third"][round % 3], config, &[], None);
    let address = router.address("started name=");
    sleep_ms(500.0);
    let restart = Arc::<Restart>::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, counts, restart) = (case.record.clone(), counts.clone(), restart.clone());
            std::thread::spawn(move || ask(round * CLIENTS + client, address, &record, &counts, &restart))
        })
        .collect();
    sleep_ms(9_000.0);
    if case.trouble {
        *restart.told.lock().unwrap() = Some(Instant::now());
        router.term();
        let kill_at = Instant::now() + KILL_AFTER;
        while Instant::now() < kill_at && router.ended().is_none() {
            sleep_ms(5.0);
        }
        case.record.line(&format!("the router has ended by itself: {:?}", router.ended()));
        router.kill();
    } else {
        sleep_ms(KILL_AFTER.as_secs_f64() * 1e3);
    }
    restart.over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
}

/// One client.
fn ask(client: usize, address: SocketAddr, record: &Record, counts: &[Arc<AtomicU64>; 4], restart: &Restart) {
    let [asked, served, excused, lost] = counts;
    let mut random = Random::new(client as u64 + 1);
    let slow = client.is_multiple_of(3);
    let mut conn: Option<Conn> = None;
    sleep_ms(random.between(0.0, BEGIN_MS));
    for number in 0.. {
        sleep_ms(random.between(0.0, 2_000.0));
        if restart.over.load(Ordering::Relaxed) {
            return;
        }
        let kept = conn.take().filter(Conn::is_open);
        if kept.is_none() && !restart.open_to_new() {
            continue;
        }
        let Ok(mut open) = kept.map(Ok).unwrap_or_else(|| Conn::open(address)) else { continue };
        let ask = Ask {
            id: format!("{:08x}{number:08x}", client + 1),
            class: "run-summary",
            tenant: ["donaupay", "murtal-mobil", "kremser-tickets", "innsoft"][client % 4],
            budget: 7.5,
            session: random.next(),
            prompt: 600 + (random.next() % 1_500) as u32,
        };
        asked.fetch_add(1, Ordering::Relaxed);
        record.line(&format!("client {client} begins {}{}", ask.id, if slow { ", slowly" } else { "" }));
        let pieces = if slow { PIECES } else { 1 };
        if ask.write(&mut open, pieces, SLOW_MS / PIECES as f64).is_err() {
            record.line(&format!("client {client} could not write {}", ask.id));
            continue;
        }
        let written = Instant::now();
        let after = restart.told().map(|told| written.saturating_duration_since(told));
        record.line(&format!("client {client} has written {}, {after:?} after SIGTERM", ask.id));
        let (outcome, keeps) = ask.read(&mut open);
        conn = keeps.then_some(open);
        let short = match &outcome {
            Outcome::Served(_) => "a whole answer".to_owned(),
            Outcome::Broken(text) => format!("a stream cut behind {} bytes", text.len()),
            other => format!("{other:?}"),
        };
        record.line(&format!("client {client} has {}: {short}", ask.id));
        match outcome {
            Outcome::Served(_) => drop(served.fetch_add(1, Ordering::Relaxed)),
            Outcome::Broken(_) if after.is_some_and(|after| after > LATE_AFTER) => {
                lost.fetch_add(1, Ordering::Relaxed);
                record
                    .line(&format!("BROKEN: {} came {after:?} after SIGTERM and was cut at SIGKILL", ask.id));
            }
            Outcome::Broken(_) => drop(excused.fetch_add(1, Ordering::Relaxed)),
            _ => {}
        }
    }
}
