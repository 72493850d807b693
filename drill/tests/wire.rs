//! Runs the adapter as a process: all events and actions are translated, and errors name the malformed input.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const SETTINGS: &str = r#"{"balancers":2,"self_index":0,"unheard_of":[1,2],"ceilings":{"cancel":true,"max_attempts":6,"max_retry_after":500000000,"probes":true,"retry_after":true},"classes":[{"aim":1000000000,"dedup_scope":"all","effect":"side_effect","memory_span":5000000000,"name":"note","worth":1.0}],"extra":{"aim_us_per_1000_prompt_tokens":[40000.0],"duty_by_kind":["read","write"],"kv_tokens":[200000,130000],"local_read":false,"release_within":300000000},"kinds":["r","w"],"over_share_worth":0.2,"registry_mode":"on_request","rules":{"cold":13000000000,"cold_share":0.28,"fall":1000000000,"fall_multiple":3.0},"telemetry":{"fields":["inflight","x0"],"via":"probe"},"tenants":[{"name":"t","quota_per_s":3.0}],"zones":["z"]}"#;

const LIST: &str = r#"["members","router_0",1,"disk",[["active",0,"r","10.0.0.1:7001","z",null,1],["active",0,"w","10.0.0.2:7002","z",0,1.5]]]"#;

fn run_adapter(lines: &[String]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shedrelay-drill"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    let mut input = child.stdin.take().expect("piped");
    // The adapter may stop reading at a malformed line, so a broken pipe is no failure.
    let _ = input.write_all((lines.join("\n") + "\n").as_bytes());
    drop(input);
    child.wait_with_output().expect("the adapter ends")
}

fn hello() -> String {
    format!(r#"["hello","router_0",5,{SETTINGS}]"#)
}

fn batch(clock: u64, events: &[&str]) -> Vec<String> {
    let mut lines = vec![format!(r#"["sync",{clock}]"#)];
    lines.extend(events.iter().map(|event| (*event).to_owned()));
    lines.push(r#"["flush"]"#.to_owned());
    lines
}

const REQUEST: &str = r#"["ask","router_0",17,"91f03b7c55d20a64",1200,256,1800,4000000000,"note","2b8e6401d9f37c10",1,12000000,"t"]"#;

#[test]
fn all_events_and_actions_are_translated() {
    let mut lines = batch(1_000_000_000, &[&hello(), LIST]);
    lines.extend(batch(1_001_000_000, &[REQUEST]));
    lines.extend(batch(
        1_002_000_000,
        &[r#"["returned","router_0",17,1000000,0,"read","10.0.0.1:7001",false,1200,null]"#],
    ));
    lines.extend(batch(1_003_000_000, &[r#"["started","router_0",17,1,"10.0.0.2:7002",900000]"#]));
    lines.extend(batch(
        1_004_000_000,
        &[
            r#"["returned","router_0",17,9000000,1,"pass","10.0.0.2:7002",true,null,{"inflight":1,"x0":0.25}]"#,
            r#"["checked","router_0",1400000,"10.0.0.1:7001","pass",{"x0":0.5}]"#,
            r#"["note","router_0",17,0.5,0,1,"10.0.0.1:7001"]"#,
            r#"["neighbour_says","router_0",1,"aGkgNw=="]"#,
            r#"["lapsed","router_0",99]"#,
            r#"["wakeup","router_0",1]"#,
            r#"["members","router_0",2,"error",null]"#,
        ],
    ));
    lines.extend(batch(1_100_000_000, &[REQUEST.replace("17,", "18,").as_str()]));
    lines.extend(batch(
        1_110_000_000,
        &[r#"["returned","router_0",18,1000000,0,"read","10.0.0.1:7001",null,0,null]"#],
    ));
    lines.extend(batch(
        1_120_000_000,
        &[r#"["returned","router_0",18,1000000,1,"fault","10.0.0.2:7002",false,0,null]"#],
    ));
    lines.extend(batch(
        1_130_000_000,
        &[REQUEST.replace("17,", "19,").as_str(), r#"["lapsed","router_0",19]"#],
    ));
    lines.extend(batch(1_140_000_000, &[r#"["stop","router_0"]"#]));
    let output = run_adapter(&lines);
    let text = String::from_utf8(output.stdout).expect("UTF-8");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    for expected in [
        r#"["stream_changes","router_0",true]"#,
        r#"["send","router_0",17,0,"10.0.0.1:7001"]"#,
        r#"["send","router_0",17,0,"10.0.0.2:7002"]"#,
        r#"["probe","router_0","10.0.0.1:7001"]"#,
        r#"["arm","router_0",1,40000000]"#,
        r#"["finish_error","router_0",18]"#,
        r#"["release","router_0",18]"#,
        r#"["call_off","router_0",19,0]"#,
    ] {
        assert!(text.lines().any(|line| line == expected), "{expected} is missing from:\n{text}");
    }
    assert_eq!(text.lines().filter(|line| *line == r#"["done"]"#).count(), 10);
}

#[test]
fn refusal_carries_its_backoff() {
    let mut lines = batch(1_000_000_000, &[&hello(), r#"["members","router_0",1,"disk",[]]"#]);
    lines.extend(batch(1_001_000_000, &[REQUEST]));
    lines.extend(batch(3_000_000_000, &[r#"["wakeup","router_0",1]"#]));
    let text = String::from_utf8(run_adapter(&lines).stdout).expect("UTF-8");
    assert!(text.contains(r#"["not_now","router_0",17,500000000]"#), "{text}");
}

#[test]
fn errors_name_the_malformed_input() {
    let bad_settings = hello().replace(r#""balancers":2,"#, "");
    let bad_value = hello().replace(r#""balancers":2,"#, r#""balancers":0,"#);
    let cases: &[(&str, &[&str])] = &[
        ("not json", &["not JSON"]),
        ("{}", &["array"]),
        (r#"["surprise","router_0"]"#, &["unknown event `surprise`"]),
        (r#"["lapsed","router_0"]"#, &["`lapsed`", "expected 2 values, found 1"]),
        (r#"["lapsed","router_0","x"]"#, &["`lapsed`", "`req`", "whole number"]),
        (r#"["lapsed","router_7",1]"#, &["unknown instance `router_7`"]),
        (r#"["stop","router_7"]"#, &["unknown instance `router_7`"]),
        (r#"["flush","x"]"#, &["`flush`"]),
        (r#"["sync",5]"#, &["`sync` out of place"]),
        (r#"["checked","router_0",1,"nowhere","pass",null]"#, &["`worker`", "nowhere"]),
        (r#"["checked","router_0",1,"10.0.0.1:7001","fine",null]"#, &["`verdict`", "fine"]),
        (r#"["checked","router_0",1,"10.0.0.1:7001","pass",{"x0":"much"}]"#, &["`stats`", "x0"]),
        (r#"["members","router_0",1,"sometimes",[]]"#, &["`kind`", "sometimes"]),
        (r#"["members","router_0",1,"diff",[["active",0]]]"#, &["`members`", "found 2"]),
        (&REQUEST.replace("\"note\"", "\"memo\""), &["`qos`", "memo"]),
        (&REQUEST.replace("91f03b7c55d20a64", "91f0"), &["`talk`", "16 hex digits"]),
        (&REQUEST.replace("1800", "-1"), &["`n_prompt`"]),
        (&bad_settings, &["`hello`", "`settings`", "balancers"]),
        (&bad_value, &["`settings`", "routers: must be at least 1"]),
    ];
    for (line, expected) in cases {
        let mut lines = batch(1, &[&hello(), LIST]);
        lines.extend(batch(2, &[line]));
        let output = run_adapter(&lines);
        let message = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{line}: {message}");
        assert_eq!(message.lines().count(), 1, "{line}: {message}");
        assert!(!message.contains("panicked"), "{message}");
        for part in *expected {
            assert!(message.contains(part), "{line}: {message}");
        }
    }
}

#[test]
fn events_outside_a_batch_and_unfinished_batches_are_errors() {
    for lines in [vec![hello()], vec![r#"["flush"]"#.to_owned()], vec![r#"["sync",5]"#.to_owned()]] {
        let output = run_adapter(&lines);
        assert_eq!(output.status.code(), Some(1));
        assert!(!output.stderr.is_empty());
    }
}

#[test]
fn end_of_input_exits_cleanly() {
    let output = run_adapter(&batch(1, &[&hello(), LIST]));
    assert!(output.status.success());
}
