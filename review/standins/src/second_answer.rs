//! Case: a writer answers a request a second time, some milliseconds late.

use crate::common::{Case, Discovery, Member, Random, Router, sleep_ms};
use crate::servers::{Ask, Outcome, Server, States};
use crate::wire::Conn;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// How long clients ask.
const PLAY: Duration = Duration::from_secs(90);
/// Requests a second: "a router sees some tens of requests a second at most".
const RATE: f64 = 30.0;
/// Clients, each with one connection.
const CLIENTS: usize = 36;
/// Share of the streams behind which a second answer comes. The pages set none ("some", "many spoilt answers").
const SECOND_ANSWERS: f64 = 0.2;

/// Plays the case.
pub fn play(case: &Case) -> ! {
    let discovery = Discovery::default();
    let (states, second_sent) = (States::default(), Arc::new(AtomicU64::new(0)));
    for number in 0..9 {
        let reads = number < 5;
        let id = if reads { format!("s-read{number}") } else { format!("s-write{}", number - 5) };
        let server = Arc::new(Server {
            id: id.clone(),
            reads,
            states: states.clone(),
            record: case.record.clone(),
            second_answers: if case.trouble { SECOND_ANSWERS } else { 0.0 },
            events: (4, 9),
            event_ms: (10.0, 40.0),
            inflight: AtomicU64::new(0),
            second_sent: second_sent.clone(),
        });
        let address = server.start();
        discovery.set(Member::new(&id, address, if reads { "prefill" } else { "decode" }));
    }
    let limits = "{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}";
    let config = case.config("router", discovery.start(), &discovery.whole(), limits);
    let mut router = Router::start(case, "router", &config, &[], None);
    let address = router.address("started name=");
    sleep_ms(500.0);
    let counts: [Arc<AtomicU64>; 4] = Default::default();
    let [asked, served, other, foreign] = counts.clone();
    let until = Instant::now() + PLAY;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (record, counts) = (case.record.clone(), counts.clone());
            std::thread::spawn(move || {
                let [asked, served, other, foreign] = counts;
                let mut random = Random::new(client as u64 + 1);
                let mut conn: Option<Conn> = None;
                for number in 0.. {
                    sleep_ms(random.gap(CLIENTS as f64 / RATE) * 1e3);
                    if Instant::now() >= until {
                        return;
                    }
                    let (class, budget) = match random.next() % 100 {
                        0..58 => ("run-summary", 7.5),
                        58..81 => ("log-chat", 12.0),
                        _ => ("book-device", 3.0),
                    };
                    let tenant =
                        ["donaupay", "murtal-mobil", "kremser-tickets"][(random.next() % 3) as usize];
                    let ask = Ask {
                        id: format!("{:08x}{number:08x}", client + 1),
                        class,
                        tenant,
                        budget,
                        session: random.next(),
                        prompt: 200 + (random.next() % 800) as u32,
                    };
                    let kept = conn.take().filter(Conn::is_open);
                    let reused = kept.is_some();
                    let Ok(mut open) = kept.map(Ok).unwrap_or_else(|| Conn::open(address)) else { continue };
                    asked.fetch_add(1, Ordering::Relaxed);
                    record.line(&format!("client {client} asks {} class={class}", ask.id));
                    let (mut outcome, mut keeps) = ask.send(&mut open);
                    // "if the close crosses a request it has not read, the client sends that request once more on a
                    // new connection"
                    if outcome == Outcome::Closed
                        && reused
                        && let Ok(new) = Conn::open(address)
                    {
                        record.line(&format!("client {client} asks {} once more", ask.id));
                        open = new;
                        (outcome, keeps) = ask.send(&mut open);
                    }
                    conn = keeps.then_some(open);
                    record.line(&format!("client {client} has {}: {outcome:?}", ask.id));
                    match &outcome {
                        Outcome::Served(text) | Outcome::Broken(text) => {
                            let others =
                                text.split_whitespace().filter(|part| !part.starts_with(&ask.id)).count();
                            if others > 0 {
                                foreign.fetch_add(1, Ordering::Relaxed);
                                record.line(&format!(
                                    "BROKEN: {} was answered with what no server made for it",
                                    ask.id
                                ));
                            }
                            served.fetch_add(
                                u64::from(matches!(outcome, Outcome::Served(_))),
                                Ordering::Relaxed,
                            );
                        }
                        _ => drop(other.fetch_add(1, Ordering::Relaxed)),
                    }
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let count = |count: &Arc<AtomicU64>| count.load(Ordering::Relaxed);
    let text = format!(
        "{} asked, {} whole, {} refused or failed, {} second answers, {} answered with another request's answer",
        count(&asked),
        count(&served),
        count(&other),
        count(&second_sent),
        count(&foreign)
    );
    if count(&served) * 2 < count(&asked) {
        case.verdict(2, &text);
    }
    case.verdict(i32::from(count(&foreign) > 0), &text)
}
