//! Plays one case of the review: `review-case N ROOT TEMP RECORD RUN`, with `TROUBLE=0` without its disruption. Ends
//! with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod common;
mod drained_mid_message;
mod late_at_restart;
mod second_answer;
mod servers;
mod websocket;
mod wire;

use common::{Case, Record, end_all};
use std::path::PathBuf;

fn main() {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("{panic}");
        end_all();
        std::process::exit(2);
    }));
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [number, root, temp, record, run] = arguments.as_slice() else {
        eprintln!("usage: review-case N ROOT TEMP RECORD RUN");
        std::process::exit(2);
    };
    let case = Case {
        root: PathBuf::from(root),
        temp: PathBuf::from(temp),
        run: run.clone(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        record: Record::create(&PathBuf::from(record)),
    };
    case.record.line(&format!("case {number}, trouble {}", if case.trouble { "on" } else { "off" }));
    match number.as_str() {
        "1" => second_answer::play(&case),
        "2" => drained_mid_message::play(&case),
        "3" => late_at_restart::play(&case),
        _ => case.verdict(2, "no such case"),
    }
}
