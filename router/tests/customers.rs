//! Other customers: nothing in the program knows a class, a customer, a zone or a kind by its name, how many there are, or
//! that an optional figure is told.

mod standins;

use serde_json::{Value, json};
use standins::{READ, RELEASED, answer, serve};
use std::process::{Command, Output, Stdio};

/// A configuration of a customer with so many classes; servers of the kinds `wolf` and `fox` in zones of their own.
fn customer(classes: usize, reader: &str, writer: &str) -> Value {
    let class = |n: usize| {
        let effect = if n.is_multiple_of(2) { "pure" } else { "side_effect" };
        json!({"name": format!("klasse {n}"), "effect": effect, "aim": 5_000_000_000u64, "worth": 1.0 + n as f64})
    };
    let member = |id: &str, at: &str, kind: &str, zone: &str| json!({"id": id, "host_port": at, "flavor": kind, "phase": "active", "locality": zone});
    json!({
        "name": "x9", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "mgmt": "127.0.0.1:0",
        "seed": "00c0ffee00c0ffee", "limits": {"sockets": 256},
        "known": {"revision": 1, "complete": true, "members": [
            member("a", reader, "wolf", "Süd"), member("b", writer, "fox", "Nord")]},
        "settings": {
            "balancers": 1, "self_index": 0, "registry_mode": "pushed", "kinds": ["wolf", "fox"],
            "zones": ["Süd", "Nord"], "extra": {"duty_by_kind": ["read", "write"]},
            "ceilings": {"cancel": true, "probes": false, "max_attempts": 3},
            "rules": {"cold": 1_000_000_000u64, "cold_share": 0.5, "fall": 1_000_000_000u64, "fall_multiple": 3.0},
            "telemetry": {"via": "answers"},
            "tenants": [{"name": "Müller & Söhne", "quota_per_s": 100.0}],
            "classes": (0..classes).map(class).collect::<Vec<_>>()
        }
    })
}

fn command(config: &Value, folder: &tempfile::TempDir) -> Command {
    std::fs::write(folder.path().join("config.json"), config.to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_fawnstream"));
    command.env_clear().env("PROXY_CONFIG", folder.path().join("config.json"));
    command.stdin(Stdio::null()).stderr(Stdio::piped());
    command
}

#[test]
fn customers_with_other_names_and_numbers_of_classes_are_served() {
    let reader = serve(|head, _| Some(if head.starts_with("DELETE") { RELEASED } else { READ }.to_owned()));
    let writer = serve(|_, _| Some(answer("{\"choices\":[]}")));
    for classes in [1, 2, 40] {
        let folder = tempfile::tempdir().unwrap();
        let config = customer(classes, &reader.to_string(), &writer.to_string());
        let router = standins::begin(command(&config, &folder), "customer");
        for class in [0, classes - 1] {
            let class = format!("klasse {class}");
            let answer = router.ask(7, 8, &class, "Müller & Söhne", "9", "{\"model\":\"m\"}");
            assert!(answer.starts_with("HTTP/1.1 200"), "{classes} classes, {class}: {answer}");
        }
        let unknown = router.ask(9, 8, "log-chat", "Müller & Söhne", "9", "{\"model\":\"m\"}");
        assert!(unknown.starts_with("HTTP/1.1 400"), "a class that this customer has not: {unknown}");
    }
}

/// What is wrong is said in one line, and the program ends with a code other than 0.
#[test]
fn a_broken_configuration_is_one_line_and_a_failure() {
    type Change = fn(&mut Value);
    let broken: [(&str, Change); 5] = [
        ("no classes told", |config| _ = config["settings"].as_object_mut().unwrap().remove("classes")),
        ("another duty", |config| config["settings"]["extra"]["duty_by_kind"][0] = json!("dig")),
        ("one duty too few", |config| config["settings"]["extra"]["duty_by_kind"] = json!(["read"])),
        ("a negative aim", |config| config["settings"]["classes"][0]["aim"] = json!(-1)),
        ("another mode", |config| config["settings"]["registry_mode"] = json!("guessed")),
    ];
    for (what, change) in broken {
        let folder = tempfile::tempdir().unwrap();
        let mut config = customer(2, "127.0.0.1:9", "127.0.0.1:9");
        change(&mut config);
        let Output { status, stderr, .. } = command(&config, &folder).output().unwrap();
        let said = String::from_utf8(stderr).unwrap();
        assert!(!status.success(), "{what}: {said}");
        assert_eq!(said.lines().count(), 1, "{what}: {said}");
        assert!(said.starts_with("fawnstream: "), "{what}: {said}");
    }
}
