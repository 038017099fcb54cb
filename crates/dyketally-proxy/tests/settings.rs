//! Settings of the daemon: defaults, flags, and error messages, which say how to correct each fault.

use std::path::PathBuf;
use std::time::Duration;

use dyketally_proxy::settings::{Flags, LogLayout, Settings, check, read};
use log::LevelFilter;
use rstest::rstest;

const MINIMAL: &str = r#"
[node]
name = "proxy-1"
region = "south"
zone = "a"

[listen]
peers = "10.0.0.1:7432"
membership = "10.0.0.1:7432"
"#;

fn read_text(text: &str, flags: &Flags) -> Result<Settings, Vec<String>> {
    let result = read("file.toml", text, flags);
    result.map_err(|report| report.0.iter().map(ToString::to_string).collect())
}

#[test]
fn defaults_stand_where_nothing_is_set() {
    let settings = read_text(MINIMAL, &Flags::default()).expect("minimal settings");
    assert_eq!(settings.listen.callers.to_string(), "0.0.0.0:6432");
    assert_eq!(settings.listen.admin.to_string(), "127.0.0.1:7480");
    assert_eq!(settings.limits.longest_message_bytes, 16 * 1_024 * 1_024);
    assert_eq!(settings.limits.callers, 5_000);
    assert_eq!(settings.limits.drain_deadline, Duration::from_secs(30));
    assert_eq!(settings.logging.layout, LogLayout::Human);
    assert_eq!(settings.logging.level.0, LevelFilter::Info);
    assert_eq!(settings.platform.key_value, None);
    assert_eq!(settings.configuration_file, None);
}

#[test]
fn flags_stand_over_the_file() {
    let text = |value: &str| Some(value.to_owned());
    let flags = Flags {
        node: text("proxy-2"),
        listen_callers: text("127.0.0.1:0"),
        listen_admin: text("127.0.0.1:0"),
        advertise_peers: text("10.9.9.9:1"),
        seeds: vec!["10.0.0.2:7432".to_owned()],
        key_value: text("http://10.0.0.3:2379"),
        routes: vec!["10.0.0.2:7432=127.0.0.1:17432".to_owned()],
        drain_deadline: text("5s"),
        log_layout: text("json"),
        log_level: text("debug"),
        configuration_file: text("static.toml"),
        ..Flags::default()
    };
    let settings = read_text(MINIMAL, &flags).expect("settings with flags");
    assert_eq!(settings.node.name.as_str(), "proxy-2");
    assert_eq!(settings.node.locality.zone.as_str(), "a");
    assert_eq!(settings.listen.callers.port(), 0);
    let peers = settings.advertise.peers.expect("advertised address");
    assert_eq!(peers.to_string(), "10.9.9.9:1");
    let via = settings.network.via(settings.membership.seeds[0]);
    assert_eq!(via.to_string(), "127.0.0.1:17432");
    assert_eq!(settings.network.via(peers), peers);
    let key_value = settings.platform.key_value.expect("key-value service");
    assert_eq!(key_value.to_string(), "http://10.0.0.3:2379/");
    assert_eq!(settings.limits.drain_deadline, Duration::from_secs(5));
    assert_eq!(settings.logging.layout, LogLayout::Json);
    let file = settings.configuration_file;
    assert_eq!(file, Some(PathBuf::from("static.toml")));
}

#[test]
fn flags_alone_are_enough() {
    let text = |value: &str| Some(value.to_owned());
    let flags = Flags {
        node: text("proxy-1"),
        region: text("south"),
        zone: text("a"),
        listen_peers: text("127.0.0.1:0"),
        listen_membership: text("127.0.0.1:0"),
        ..Flags::default()
    };
    read_text("", &flags).expect("settings from flags");
}

#[rstest]
#[case::syntax("[node", &["correct the TOML syntax"])]
#[case::nothing("", &["node.name: is missing", "node.region: is missing", "node.zone: is missing", "advertise.peers: is 0.0.0.0:7432, which other nodes can't reach; set an address", "advertise.membership: is 0.0.0.0:7432"])]
#[case::unknown_section("[nodes]", &["nodes: unknown key; remove it or use one of: node, listen"])]
#[case::unknown_field("[limits]\ncaller = 1", &["limits.caller: unknown key; remove it or use one of: longest_message_bytes, callers, drain_deadline"])]
#[case::section_no_table("limits = 3", &["limits: is 3; set it to a table [limits]"])]
#[case::wrong_type("[limits]\ncallers = \"many\"", &["limits.callers: is \"many\"; set it to a whole number"])]
#[case::out_of_range("[limits]\ncallers = 0\nlongest_message_bytes = 10\ndrain_deadline = \"1ms\"", &["longest_message_bytes: is 10; set it to a value from 1024", "callers: is 0; set it", "drain_deadline: is 1ms; set it to a value from 1s to 1h"])]
#[case::host_name("[membership]\nseeds = [\"proxy-2:7432\", \"0.0.0.0:1\", \"10.0.0.2:0\"]", &["membership.seeds[0]: is \"proxy-2:7432\"; set it to an IP address", "can't reach"])]
#[case::seeds_no_list("[membership]\nseeds = \"10.0.0.2:7432\"", &["membership.seeds: is \"10.0.0.2:7432\"; set it to a list"])]
#[case::tls("[platform]\nkey_value = \"https://10.0.0.3:2379\"", &["platform.key_value: is \"https://10.0.0.3:2379\"; set it to an http:// URL"])]
#[case::no_url("[platform]\nmachines = \"10.0.0.3\"", &["platform.machines: is \"10.0.0.3\"; set it to an http:// URL"])]
#[case::route("[[network.routes]]\nto = \"10.0.0.2:1\"\n[[network.routes]]\nto = \"10.0.0.2:1\"\nvia = \"0.0.0.0:1\"", &["network.routes[0].via: is missing", "network.routes[1].via: is 0.0.0.0:1, which other nodes can't reach", "network.routes[1].to: repeats 10.0.0.2:1"])]
#[case::layout("[logging]\nlayout = \"xml\"\nlevel = \"loud\"", &["logging.layout: is \"xml\"; set it to one of \"human\", \"json\"", "logging.level: is \"loud\""])]
#[case::advertised("[advertise]\ncallers = \"0.0.0.0:6432\"\npeers = \"10.0.0.1:0\"", &["advertise.callers: is 0.0.0.0:6432", "advertise.peers: is 10.0.0.1:0"])]
#[case::file("configuration_file = \"\"", &["configuration_file: is \"\"; set it to the path of a file"])]
fn tells_every_fault(#[case] text: &str, #[case] expected: &[&str]) {
    let needs_the_rest = !text.is_empty() && text != "[node";
    let text = match needs_the_rest {
        true => format!("{text}\n{MINIMAL}"),
        false => text.to_owned(),
    };
    let faults = read_text(&text, &Flags::default()).expect_err("faults");
    for part in expected {
        let found = faults.iter().any(|fault| fault.contains(part));
        assert!(found, "{part:?} is not in {faults:#?}");
    }
}

#[rstest]
#[case::callers_and_peers(
    "0.0.0.0:7432",
    "10.0.0.1:7480",
    "listen.peers: repeats 10.0.0.1:7432, which listen.callers has"
)]
#[case::peers_and_admin(
    "10.0.0.1:6432",
    "0.0.0.0:7432",
    "listen.admin: repeats 0.0.0.0:7432, which listen.peers has"
)]
fn listeners_differ(#[case] callers: &str, #[case] admin: &str, #[case] expected: &str) {
    let flags = Flags {
        listen_callers: Some(callers.to_owned()),
        listen_admin: Some(admin.to_owned()),
        ..Flags::default()
    };
    let faults = read_text(MINIMAL, &flags).expect_err("faults");
    assert_eq!(faults.len(), 1, "{faults:#?}");
    assert!(faults[0].contains(expected), "{faults:#?}");
}

#[test]
fn a_flag_is_checked_like_a_field() {
    let flags = Flags {
        routes: vec!["10.0.0.2:7432".to_owned()],
        log_level: Some("loud".to_owned()),
        ..Flags::default()
    };
    let faults = read_text(MINIMAL, &flags).expect_err("faults");
    assert_eq!(faults.len(), 2, "{faults:#?}");
}

#[test]
fn a_missing_file_is_told_with_its_remedy() {
    let report = check(&PathBuf::from("no-such-file.toml"));
    assert!(!report.is_clean());
    let text = report.to_string();
    assert!(text.contains("check that the file exists"), "{text}");
}
