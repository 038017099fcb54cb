//! The test bed: plans of sites, child processes, and steps.

use std::collections::HashSet;
use std::time::Duration;

use dyketally_lab::network::{ControlClient, Endpoint, NetworkSettings};
use dyketally_lab::testbed::{
    Launcher, Plan, Program, Routes, Signal, Site, Steps, free_addresses, poll_until,
};
use rstest::rstest;

const LIMIT: Duration = Duration::from_secs(30);

#[rstest]
#[case::huber(Site::huber(), 3, 9)]
#[case::lakeshore(Site::lakeshore(), 3, 9)]
fn a_plan_has_a_proxy_and_a_member_of_each_group_in_each_zone(
    #[case] site: Site,
    #[case] proxies: usize,
    #[case] databases: usize,
) {
    let plan = Plan::new(&site).expect("planned");
    assert_eq!(plan.proxies.len(), proxies);
    assert_eq!(plan.databases.len(), databases);
    for group in &site.groups {
        let zones: HashSet<&str> = plan.group(group).map(|it| it.zone.as_str()).collect();
        assert_eq!(zones.len(), site.zones.len());
    }
    let network = plan.network(&site);
    network.validate().expect("valid");
    let (from, to) = (&site.zones[0], &site.zones[1]);
    let delay = Duration::from_secs_f64(site.zone_delay_ms / 1_000.0);
    assert_eq!(network.delay(from, to), delay);
    assert_eq!(network.delay(from, from), Duration::ZERO);
}

#[test]
fn a_site_survives_its_settings_file() {
    let site = Site::huber();
    let text = toml::to_string(&site).expect("written");
    assert_eq!(toml::from_str::<Site>(&text).expect("read"), site);
}

#[test]
fn without_relays_an_address_is_reached_at_itself() {
    let plan = Plan::new(&Site::huber()).expect("planned");
    let to = plan.proxies[0].listen;
    assert_eq!(Routes::default().via("callers", to), to);
}

#[tokio::test]
async fn a_child_process_runs_freezes_thaws_and_ends() {
    let logs = std::env::temp_dir().join(format!("dyketally-testbed-{}", std::process::id()));
    let launcher = Launcher::new(&logs).expect("a launcher");
    let control_address = free_addresses(1).expect("an address")[0];
    let settings = NetworkSettings {
        control: control_address,
        endpoints: vec![Endpoint {
            name: "server".to_owned(),
            zone: "north".to_owned(),
            addresses: Vec::new(),
        }],
        delays: Vec::new(),
    };
    let path = logs.join("network.toml");
    std::fs::write(&path, toml::to_string(&settings).expect("text")).expect("written");
    let arguments = ["network", "--settings", &path.to_string_lossy()].map(str::to_owned);
    let mut process = launcher
        .start("network", Program::Lab, &arguments)
        .expect("started");
    let control = ControlClient::new(control_address);
    let answers = || async { control.routes().await.ok() };
    poll_until("network", LIMIT, answers).await.expect("ready");

    process.signal(Signal::Stop).expect("frozen");
    let stopped = || async { process.is_stopped().then_some(()) };
    poll_until("stopped", LIMIT, stopped)
        .await
        .expect("stopped");
    let frozen = tokio::time::timeout(Duration::from_millis(200), control.routes()).await;
    assert!(frozen.is_err(), "a frozen process answered");
    process.signal(Signal::Continue).expect("thawed");
    poll_until("network", LIMIT, answers).await.expect("ready");

    assert!(process.resident_memory().is_some_and(|bytes| bytes > 0));
    process.signal(Signal::Terminate).expect("told");
    let status = process.wait(LIMIT).await.expect("ended");
    assert!(!status.success());
    assert!(control.routes().await.is_err());
    process.signal(Signal::Kill).expect("ignored after its end");
    let log = std::fs::read_to_string(logs.join("network.log")).expect("a log");
    assert!(log.contains("control at"));
    std::fs::remove_dir_all(&logs).expect("removed");
}

#[test]
fn a_failed_step_fails_the_whole() {
    let mut steps = Steps::new("steps");
    steps.record("first", Ok::<_, String>("seen"));
    steps.record("second", Err::<String, _>("not seen"));
    assert!(steps.finish().is_err());
    let mut steps = Steps::new("steps");
    steps.record("first", Ok::<_, String>("seen"));
    assert!(steps.finish().is_ok());
}

#[test]
fn addresses_of_two_sites_are_all_different() {
    let mut addresses = free_addresses(100).expect("addresses");
    addresses.extend(free_addresses(100).expect("further addresses"));
    let different: HashSet<_> = addresses.iter().collect();
    assert_eq!(different.len(), 200);
}
