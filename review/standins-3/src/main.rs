//! Plays one case of the review: `standins-3 NAME FOLDER`. Runs from the repository's root. Exits with 1 if the rule
//! was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod etcd;
mod http;
mod process;
mod record;
mod servers;
mod websocket;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

/// A case that takes longer than this could not run.
const LIMIT: Duration = Duration::from_secs(115);

/// How a case ended: whether the rule held, and one line that says why.
pub struct Judgement {
    pub held: bool,
    pub reason: String,
}

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standins-3 NAME FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record::open(&Path::new(folder).join("record.txt"));
    record::line(&format!("case {name} trouble={}", u8::from(trouble)));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        record::line("could not run: time is over");
        process::kill_all();
        exit(2);
    });
    let result = std::panic::catch_unwind(|| cases::play(name, trouble));
    process::kill_all();
    let code = match result {
        Ok(Ok(Judgement { held, reason })) => {
            record::line(&format!("{}: {reason}", if held { "held" } else { "BROKEN" }));
            i32::from(!held)
        }
        Ok(Err(reason)) => {
            record::line(&format!("could not run: {reason}"));
            2
        }
        Err(_) => {
            record::line("could not run: a stand-in failed");
            2
        }
    };
    exit(code);
}
