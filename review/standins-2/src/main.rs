//! Plays the cases of the second review: `fawnstream-review-2 NAME FOLDER`, from the repository's root. It writes
//! `record.txt` into the folder and exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.

mod cases;
mod etcd;
mod http;
mod json;
mod more_cases;
mod websocket;
mod world;

use std::path::Path;
use world::World;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("usage: fawnstream-review-2 NAME FOLDER");
        std::process::exit(2);
    };
    // Opened before all else, so that it is descriptor 3 for the cases that hand a listening socket on.
    let inherited = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let world = World::new(Path::new(folder), name);
    let broken = match name.as_str() {
        "unsafe-upgrade" => more_cases::unsafe_upgrade(&world),
        "id-in-use" => more_cases::id_in_use(&world, inherited),
        "held-handover" => more_cases::held_handover(&world, inherited),
        "held-at-stop" => more_cases::held_at_stop(&world, inherited),
        "etcd-cut" => cases::etcd_cut(&world),
        "gone-clients" => cases::gone_clients(&world),
        "two-upgrades" => cases::two_upgrades(&world, inherited),
        "orderly-stop" => cases::orderly_stop(&world),
        "closed-period" => cases::closed_period(&world),
        "two-customers" => cases::two_customers(&world),
        "ledger-wait" => cases::ledger_wait(&world, inherited),
        "upgrade-with-openai" => cases::upgrade_with_openai(&world, inherited),
        _ => {
            eprintln!("no such case: {name}");
            std::process::exit(2);
        }
    };
    for line in &broken {
        world.note(&format!("BROKEN: {line}"));
        println!("{line}");
    }
    world.end(i32::from(!broken.is_empty()));
}
