//! The settings file: the name, unit and default of each field, and the error messages for invalid values.

use std::path::Path;

use dyketally_gateway::settings::{
    self, AccessSettings, BoundSettings, ListenSettings, NodeSettings, OutOfContact, ReadSettings,
    ServiceSettings, Settings, SettingsError,
};
use rstest::rstest;

/// A settings file with every field, each at another value than its default.
const EVERY_FIELD: &str = r#"
[node]
name = "front-1"
zone = "east"
processor_share = 0.25
descriptors = 4300
memory_mb = 160
link_mbps = 10.5
first_start = true
seeds = ["10.1.0.8:8782", "10.2.0.6:8782"]
seeds_at_own_port = true

[listen]
callers = "10.1.0.8:8784"
readiness = "10.1.0.8:8785"
peers = "10.1.0.8:7440"
metrics = "10.1.0.8:7455"

[zones]
east = "one"
west = "two"

[store]
address = "10.200.1.7:8783"

[primary_control]
address = "10.200.0.160:8783"

[bounds]
drain_ms = 7000
contact_ms = 5000
stop_s = 6.5
heartbeat_ms = 1200
evacuate_ms = 4000
cold_overrun = 1.5
cold_slack = 5
quota_slack = 20

[reads]
primary_penalty_ms = 15.5

[access]
when_out_of_touch = "refuse"
key_bound_ms = 6000
"#;

/// A settings file with only the required fields.
const REQUIRED_FIELDS: &str = r#"
[node]
name = "front-1"
zone = "east"

[listen]
callers = "10.1.0.8:8784"
readiness = "10.1.0.8:8785"
peers = "10.1.0.8:7440"

[store]
address = "10.200.1.7:8783"

[primary_control]
address = "10.200.0.160:8783"

[bounds]
drain_ms = 7000
stop_s = 6
heartbeat_ms = 1200
"#;

/// All fields with their values, one per line. Each structure is destructured completely, so that this doesn't
/// compile until an added or removed field is reflected here.
fn shown(settings: Settings) -> Vec<String> {
    let Settings {
        node,
        listen,
        zones,
        store,
        primary_control,
        bounds,
        reads,
        access,
    } = settings;
    let ServiceSettings { address: store } = store;
    let ServiceSettings {
        address: primary_control,
    } = primary_control;
    let ReadSettings { primary_penalty_ms } = reads;
    let zones = zones
        .iter()
        .map(|(zone, region)| format!("zones.{zone} = {region}"));
    let zones = zones.collect();
    let others = vec![
        format!("store.address = {store}"),
        format!("primary_control.address = {primary_control}"),
        format!("reads.primary_penalty_ms = {primary_penalty_ms}"),
    ];
    let parts = [
        shown_node(node),
        shown_listen(listen),
        zones,
        others,
        shown_bounds(bounds),
        shown_access(access),
    ];
    parts.concat()
}

fn shown_node(node: NodeSettings) -> Vec<String> {
    let NodeSettings {
        name,
        zone,
        processor_share,
        descriptors,
        memory_mb,
        link_mbps,
        first_start,
        seeds,
        seeds_at_own_port,
    } = node;
    vec![
        format!("node.name = {name}"),
        format!("node.zone = {zone}"),
        format!("node.processor_share = {processor_share}"),
        format!("node.descriptors = {descriptors:?}"),
        format!("node.memory_mb = {memory_mb:?}"),
        format!("node.link_mbps = {link_mbps:?}"),
        format!("node.first_start = {first_start}"),
        format!("node.seeds = {seeds:?}"),
        format!("node.seeds_at_own_port = {seeds_at_own_port}"),
    ]
}

fn shown_listen(listen: ListenSettings) -> Vec<String> {
    let ListenSettings {
        callers,
        readiness,
        peers,
        metrics,
    } = listen;
    vec![
        format!("listen.callers = {callers}"),
        format!("listen.readiness = {readiness}"),
        format!("listen.peers = {peers}"),
        format!("listen.metrics = {metrics:?}"),
    ]
}

fn shown_bounds(bounds: BoundSettings) -> Vec<String> {
    let BoundSettings {
        drain_ms,
        contact_ms,
        stop_s,
        heartbeat_ms,
        evacuate_ms,
        cold_overrun,
        cold_slack,
        quota_slack,
    } = bounds;
    vec![
        format!("bounds.drain_ms = {drain_ms}"),
        format!("bounds.contact_ms = {contact_ms}"),
        format!("bounds.stop_s = {stop_s}"),
        format!("bounds.heartbeat_ms = {heartbeat_ms}"),
        format!("bounds.evacuate_ms = {evacuate_ms}"),
        format!("bounds.cold_overrun = {cold_overrun}"),
        format!("bounds.cold_slack = {cold_slack}"),
        format!("bounds.quota_slack = {quota_slack}"),
    ]
}

fn shown_access(access: AccessSettings) -> Vec<String> {
    let AccessSettings {
        when_out_of_touch,
        key_bound_ms,
    } = access;
    let when_out_of_touch = match when_out_of_touch {
        OutOfContact::Serve => "serve",
        OutOfContact::Refuse => "refuse",
    };
    vec![
        format!("access.when_out_of_touch = {when_out_of_touch}"),
        format!("access.key_bound_ms = {key_bound_ms}"),
    ]
}

#[test]
fn every_field_is_read() {
    let settings = settings::parse(EVERY_FIELD).expect("sound settings");
    let expected = [
        "node.name = front-1",
        "node.zone = east",
        "node.processor_share = 0.25",
        "node.descriptors = Some(4300)",
        "node.memory_mb = Some(160)",
        "node.link_mbps = Some(10.5)",
        "node.first_start = true",
        "node.seeds = [10.1.0.8:8782, 10.2.0.6:8782]",
        "node.seeds_at_own_port = true",
        "listen.callers = 10.1.0.8:8784",
        "listen.readiness = 10.1.0.8:8785",
        "listen.peers = 10.1.0.8:7440",
        "listen.metrics = Some(10.1.0.8:7455)",
        "zones.east = one",
        "zones.west = two",
        "store.address = 10.200.1.7:8783",
        "primary_control.address = 10.200.0.160:8783",
        "reads.primary_penalty_ms = 15.5",
        "bounds.drain_ms = 7000",
        "bounds.contact_ms = 5000",
        "bounds.stop_s = 6.5",
        "bounds.heartbeat_ms = 1200",
        "bounds.evacuate_ms = 4000",
        "bounds.cold_overrun = 1.5",
        "bounds.cold_slack = 5",
        "bounds.quota_slack = 20",
        "access.when_out_of_touch = refuse",
        "access.key_bound_ms = 6000",
    ];
    assert_eq!(shown(settings), expected);
}

#[test]
fn what_is_left_out_has_its_default() {
    let settings = settings::parse(REQUIRED_FIELDS).expect("sound settings");
    let expected = [
        "node.name = front-1",
        "node.zone = east",
        "node.processor_share = 1",
        "node.descriptors = None",
        "node.memory_mb = None",
        "node.link_mbps = None",
        "node.first_start = false",
        "node.seeds = []",
        "node.seeds_at_own_port = false",
        "listen.callers = 10.1.0.8:8784",
        "listen.readiness = 10.1.0.8:8785",
        "listen.peers = 10.1.0.8:7440",
        "listen.metrics = None",
        "store.address = 10.200.1.7:8783",
        "primary_control.address = 10.200.0.160:8783",
        "reads.primary_penalty_ms = 70",
        "bounds.drain_ms = 7000",
        "bounds.contact_ms = 4000",
        "bounds.stop_s = 6",
        "bounds.heartbeat_ms = 1200",
        "bounds.evacuate_ms = 5000",
        "bounds.cold_overrun = 1",
        "bounds.cold_slack = 0",
        "bounds.quota_slack = 0",
        "access.when_out_of_touch = serve",
        "access.key_bound_ms = 5000",
    ];
    assert_eq!(shown(settings), expected);
}

/// Fields and tables that only a later version knows are ignored, in every table.
#[test]
fn unknown_fields_are_ignored() {
    let mut text = String::from("newest = true\n");
    for line in EVERY_FIELD.lines() {
        text.push_str(line);
        text.push('\n');
        if line.starts_with('[') && line != "[zones]" {
            text.push_str("not_known_yet = [1, 2]\n");
        }
    }
    text.push_str("[not_known_yet]\nfield = \"value\"\n");
    let with_unknown = settings::parse(&text).expect("sound settings");
    let without = settings::parse(EVERY_FIELD).expect("sound settings");
    assert_eq!(shown(with_unknown), shown(without));
}

#[rstest]
#[case::node("[node]\n", "missing field `node`")]
#[case::name("name = \"front-1\"\n", "missing field `name`")]
#[case::zone("zone = \"east\"\n", "missing field `zone`")]
#[case::callers("callers = \"10.1.0.8:8784\"\n", "missing field `callers`")]
#[case::readiness("readiness = \"10.1.0.8:8785\"\n", "missing field `readiness`")]
#[case::peers("peers = \"10.1.0.8:7440\"\n", "missing field `peers`")]
#[case::store("[store]\naddress = \"10.200.1.7:8783\"\n", "missing field `store`")]
#[case::control(
    "[primary_control]\naddress = \"10.200.0.160:8783\"\n",
    "missing field `primary_control`"
)]
#[case::drain("drain_ms = 7000\n", "missing field `drain_ms`")]
#[case::stop("stop_s = 6\n", "missing field `stop_s`")]
#[case::heartbeat("heartbeat_ms = 1200\n", "missing field `heartbeat_ms`")]
fn what_is_required_is_named(#[case] left_out: &str, #[case] expected: &str) {
    let text = match left_out {
        "[node]\n" => REQUIRED_FIELDS.replace("[node]\nname = \"front-1\"\nzone = \"east\"\n", ""),
        _ => REQUIRED_FIELDS.replace(left_out, ""),
    };
    let fault = settings::parse(&text).expect_err("a fault");
    assert_eq!(fault, expected);
}

#[rstest]
#[case("name = \"front-1\"", "name = \"\"", "`node.name` is empty")]
#[case(
    "zone = \"east\"",
    "zone = \"south\"",
    "`node.zone` south isn't in `zones`"
)]
#[case(
    "processor_share = 0.25",
    "processor_share = -0.1",
    "`node.processor_share` must be from 0 to 1024"
)]
#[case(
    "processor_share = 0.25",
    "processor_share = 1024.5",
    "`node.processor_share` must be from 0 to 1024"
)]
#[case(
    "descriptors = 4300",
    "descriptors = 0",
    "`node.descriptors` and `node.memory_mb` must be above 0"
)]
#[case(
    "memory_mb = 160",
    "memory_mb = 0",
    "`node.descriptors` and `node.memory_mb` must be above 0"
)]
#[case(
    "link_mbps = 10.5",
    "link_mbps = 0.09",
    "`node.link_mbps` must be from 0.1 to 1000000"
)]
#[case(
    "link_mbps = 10.5",
    "link_mbps = 1000000.5",
    "`node.link_mbps` must be from 0.1 to 1000000"
)]
#[case(
    "contact_ms = 5000",
    "contact_ms = 499",
    "`bounds.contact_ms` must be at least 500"
)]
#[case("stop_s = 6.5", "stop_s = 0", "`bounds.stop_s` must be above 0")]
#[case(
    "evacuate_ms = 4000",
    "evacuate_ms = 0",
    "`bounds.evacuate_ms` must be above 0"
)]
#[case(
    "cold_overrun = 1.5",
    "cold_overrun = 0.9",
    "`bounds.cold_overrun` must be from 1 to 100"
)]
#[case(
    "cold_overrun = 1.5",
    "cold_overrun = 100.5",
    "`bounds.cold_overrun` must be from 1 to 100"
)]
#[case(
    "primary_penalty_ms = 15.5",
    "primary_penalty_ms = -1",
    "`reads.primary_penalty_ms` must be from 0 to 10000"
)]
#[case(
    "primary_penalty_ms = 15.5",
    "primary_penalty_ms = 10001",
    "`reads.primary_penalty_ms` must be from 0 to 10000"
)]
#[case(
    "key_bound_ms = 6000",
    "key_bound_ms = 1999",
    "`access.key_bound_ms` must be from 2000 to 86400000"
)]
#[case(
    "key_bound_ms = 6000",
    "key_bound_ms = 86400001",
    "`access.key_bound_ms` must be from 2000 to 86400000"
)]
#[case(
    "when_out_of_touch = \"refuse\"",
    "when_out_of_touch = \"guess\"",
    "unknown variant `guess`, expected `serve` or `refuse`"
)]
#[case(
    "callers = \"10.1.0.8:8784\"",
    "callers = \"nowhere\"",
    "invalid socket address syntax"
)]
fn a_faulty_value_is_named(#[case] from: &str, #[case] to: &str, #[case] expected: &str) {
    let text = EVERY_FIELD.replace(from, to);
    assert_ne!(text, EVERY_FIELD);
    let fault = settings::parse(&text).expect_err("a fault");
    assert_eq!(fault, expected);
}

/// The ends of each allowed range are valid values.
#[rstest]
#[case("processor_share = 0.25", "processor_share = 1024")]
#[case("link_mbps = 10.5", "link_mbps = 0.1")]
#[case("link_mbps = 10.5", "link_mbps = 1000000.0")]
#[case("contact_ms = 5000", "contact_ms = 500")]
#[case("cold_overrun = 1.5", "cold_overrun = 1")]
#[case("cold_overrun = 1.5", "cold_overrun = 100.0")]
#[case("primary_penalty_ms = 15.5", "primary_penalty_ms = 10000")]
#[case("key_bound_ms = 6000", "key_bound_ms = 2000")]
#[case("key_bound_ms = 6000", "key_bound_ms = 86400000")]
fn a_bound_is_allowed(#[case] from: &str, #[case] to: &str) {
    let text = EVERY_FIELD.replace(from, to);
    assert_ne!(text, EVERY_FIELD);
    settings::parse(&text).expect("sound settings");
}

#[test]
fn a_file_that_cannot_be_read_is_named() {
    let fault = settings::load(Path::new("/nowhere/front.toml")).expect_err("a fault");
    assert!(matches!(fault, SettingsError::Unreadable { .. }));
    let expected = "can't read the settings /nowhere/front.toml: No such file or directory (os error 2); \
                    give the path of a readable file";
    assert_eq!(fault.to_string(), expected);
}

#[test]
fn a_faulty_file_is_named() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty-settings.toml");
    std::fs::write(&path, EVERY_FIELD.replace("stop_s = 6.5", "stop_s = 0")).expect("a file");
    let fault = settings::load(&path).expect_err("a fault");
    assert!(matches!(fault, SettingsError::Faulty { .. }));
    let expected = format!(
        "the settings {} are faulty: `bounds.stop_s` must be above 0; correct the named field",
        path.display()
    );
    assert_eq!(fault.to_string(), expected);
}

/// With `seeds_at_own_port`, seeds get the port of `listen.peers`; this node's own address is left out.
#[test]
fn seeds_get_the_own_peer_port_if_configured() {
    let at_own_port = settings::parse(EVERY_FIELD).expect("sound settings");
    let other: std::net::SocketAddr = "10.2.0.6:7440".parse().expect("an address");
    assert_eq!(at_own_port.seeds(), [other]);
    let text = EVERY_FIELD.replace("seeds_at_own_port = true", "seeds_at_own_port = false");
    let as_written = settings::parse(&text).expect("sound settings");
    let addresses = ["10.1.0.8:8782", "10.2.0.6:8782"];
    let expected: Vec<std::net::SocketAddr> = addresses
        .iter()
        .map(|it| it.parse().expect("an address"))
        .collect();
    assert_eq!(as_written.seeds(), expected);
}
