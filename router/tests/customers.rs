//! Configurations of other customers: the program assumes no names or numbers of classes, tenants, zones and kinds,
//! and no optional values.

mod standins;

use serde_json::{Value, json};
use standins::{READ, RELEASED, start_server, stream_answer};
use std::process::{Command, Output, Stdio};

/// A configuration with this many classes, and servers of the kinds `wolf` and `fox` in a zone each.
fn customer_config(classes: usize, reader: &str, writer: &str) -> Value {
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
fn serves_any_class_names_and_counts() {
    let reader =
        start_server(|head, _| Some(if head.starts_with("DELETE") { RELEASED } else { READ }.to_owned()));
    let writer = start_server(|_, _| Some(stream_answer("{\"choices\":[]}")));
    for classes in [1, 2, 40] {
        let folder = tempfile::tempdir().unwrap();
        let config = customer_config(classes, &reader.to_string(), &writer.to_string());
        let router = standins::start_router(command(&config, &folder), "customer");
        for class in [0, classes - 1] {
            let class = format!("klasse {class}");
            let answer = router.request(7, 8, &class, "Müller & Söhne", "9", "{\"model\":\"m\"}");
            assert!(answer.starts_with("HTTP/1.1 200"), "{classes} classes, {class}: {answer}");
        }
        let unknown = router.request(9, 8, "log-chat", "Müller & Söhne", "9", "{\"model\":\"m\"}");
        assert!(unknown.starts_with("HTTP/1.1 400"), "a class that is not configured: {unknown}");
    }
}

/// An invalid configuration is reported in one line, and the exit code is not 0.
#[test]
fn invalid_configuration_fails_with_one_line() {
    type Change = fn(&mut Value);
    let invalid: [(&str, Change); 5] = [
        ("no classes", |config| _ = config["settings"].as_object_mut().unwrap().remove("classes")),
        ("an unknown duty", |config| config["settings"]["extra"]["duty_by_kind"][0] = json!("dig")),
        ("one duty too few", |config| config["settings"]["extra"]["duty_by_kind"] = json!(["read"])),
        ("a negative aim", |config| config["settings"]["classes"][0]["aim"] = json!(-1)),
        ("an unknown mode", |config| config["settings"]["registry_mode"] = json!("guessed")),
    ];
    for (what, change) in invalid {
        let folder = tempfile::tempdir().unwrap();
        let mut config = customer_config(2, "127.0.0.1:9", "127.0.0.1:9");
        change(&mut config);
        let Output { status, stderr, .. } = command(&config, &folder).output().unwrap();
        let said = String::from_utf8(stderr).unwrap();
        assert!(!status.success(), "{what}: {said}");
        assert_eq!(said.lines().count(), 1, "{what}: {said}");
        assert!(said.starts_with("fawnstream: "), "{what}: {said}");
    }
}
