//! The encoding of the keys and values that nodes keep in the store.
//!
//! Nodes of two builds run side by side while a release rolls out and read each other's keys, so no key and no field
//! of a record may be renamed. Each fixture is decoded, too.

use std::net::SocketAddr;

use bytes::Bytes;
use dyketally::failover::FenceId;
use dyketally::identifiers::{DatabaseName, Locality, NodeName, RegionName, ZoneName};
use dyketally::placement::LinkClass;
use dyketally_gateway::fleet::membership::NodeRecord;
use dyketally_gateway::store::keys::StoreKeys;
use dyketally_store::key_value::{Entry, Key, LeaseId, Operation, PutRequest, StoreRevision};
use rstest::rstest;

const PREFIX: &str = "proxy/";

/// The record that a node puts under its own key and, as the failover coordinator, under the coordinator's.
const RECORD: &str = r#"{"node":"n-1","address":"10.0.0.7:7401","locality":{"region":"south","zone":"south-a"},"weight":16,"link":4}"#;
/// The record of a node of an older build, which has no links.
const RECORD_WITHOUT_LINK: &str = r#"{"node":"n-1","address":"10.0.0.7:7401","locality":{"region":"south","zone":"south-a"},"weight":16}"#;
/// The record of a node that listens on IPv6.
const RECORD_ON_IPV6: &str = r#"{"node":"n-1","address":"[::1]:7401","locality":{"region":"south","zone":"south-a"},"weight":16,"link":0}"#;

fn record(address: &str, link: LinkClass) -> NodeRecord {
    NodeRecord {
        node: NodeName::from("n-1"),
        address: address.parse::<SocketAddr>().expect("an address"),
        locality: Locality {
            region: RegionName::from("south"),
            zone: ZoneName::from("south-a"),
        },
        weight: 16,
        link,
    }
}

fn own_keys() -> StoreKeys {
    let link = LinkClass::of_megabits(300.0);
    StoreKeys::new(PREFIX.to_owned(), record("10.0.0.7:7401", link))
}

fn put(operation: Operation) -> PutRequest {
    match operation {
        Operation::Put(put) => put,
        Operation::Delete(_) | Operation::Range(_) => panic!("no put"),
    }
}

fn entry(key: Key, value: &'static [u8]) -> Entry {
    Entry {
        key,
        value: Bytes::from_static(value),
        created: StoreRevision(4),
        modified: StoreRevision(9),
        lease: Some(LeaseId(3)),
    }
}

#[test]
fn keys_have_these_names() {
    let keys = own_keys();
    let name = |key: Key| key.to_string();
    assert_eq!(name(keys.node()), "proxy/nodes/n-1");
    assert_eq!(
        name(keys.of_node(&NodeName::from("n-2"))),
        "proxy/nodes/n-2"
    );
    assert_eq!(name(keys.coordinator()), "proxy/duty/primary-control");
    let database = DatabaseName::from("ledger-1");
    assert_eq!(name(keys.fence(&database)), "proxy/fences/ledger-1");
    assert_eq!(name(keys.fleet_size()), "proxy/fleet/size");
}

#[rstest]
#[case::of_a_fence("proxy/fences/ledger-1", Some("ledger-1"))]
#[case::of_a_fence_whose_name_has_a_slash("proxy/fences/a/b", Some("a/b"))]
#[case::of_a_node("proxy/nodes/n-1", None)]
#[case::of_the_coordinator("proxy/duty/primary-control", None)]
#[case::below_another_prefix("other/fences/ledger-1", None)]
fn a_key_names_the_fenced_database(#[case] key: &str, #[case] database: Option<&str>) {
    let fenced = own_keys().fenced(&Key::from(key));
    assert_eq!(fenced, database.map(DatabaseName::from));
}

/// A database may have the name of a node, so the key of its fence must not be taken for the node's: otherwise
/// clearing the fence would remove the node.
#[rstest]
#[case::of_a_node("proxy/nodes/n-2", Some("n-2"))]
#[case::of_a_node_whose_name_has_a_slash("proxy/nodes/a/b", Some("a/b"))]
#[case::of_a_fence("proxy/fences/n-2", None)]
#[case::of_the_coordinator("proxy/duty/primary-control", None)]
#[case::below_another_prefix("other/nodes/n-2", None)]
fn a_key_names_the_node(#[case] key: &str, #[case] node: Option<&str>) {
    let named = own_keys().node_of(&Key::from(key));
    assert_eq!(named, node.map(NodeName::from));
}

/// A node puts the same record under its own key and under the coordinator's.
#[test]
fn a_node_puts_its_record_as_json() {
    let keys = own_keys();
    for key in [keys.node(), keys.coordinator()] {
        let put = put(keys.put_record(key.clone(), LeaseId(3)));
        assert_eq!(put.key, key);
        assert_eq!(put.lease, Some(LeaseId(3)));
        assert_eq!(std::str::from_utf8(&put.value), Ok(RECORD));
    }
}

#[rstest]
#[case::with_its_link(RECORD, "10.0.0.7:7401", LinkClass::of_megabits(300.0))]
#[case::of_a_build_without_links(RECORD_WITHOUT_LINK, "10.0.0.7:7401", LinkClass::default())]
#[case::on_ipv6(RECORD_ON_IPV6, "[::1]:7401", LinkClass::default())]
fn a_record_is_read(#[case] json: &str, #[case] address: &str, #[case] link: LinkClass) {
    let read: NodeRecord = serde_json::from_str(json).expect("a record");
    assert_eq!(read, record(address, link));
}

/// A later build may add fields to a record.
#[test]
fn a_record_with_fields_of_a_later_build_is_read() {
    let later = RECORD.replace(r#""weight""#, r#""later":{"x":1},"weight""#);
    let read: NodeRecord = serde_json::from_str(&later).expect("a record");
    assert_eq!(&read, own_keys().record());
}

#[rstest]
#[case::without_weight(
    r#"{"node":"n-1","address":"10.0.0.7:7401","locality":{"region":"south","zone":"south-a"}}"#
)]
#[case::empty("")]
#[case::the_round_of_a_fence("12")]
fn invalid_records_are_rejected(#[case] json: &str) {
    assert!(serde_json::from_str::<NodeRecord>(json).is_err());
}

/// The value under a fence's key is its round in decimal digits.
#[test]
fn a_fence_is_put_as_its_round() {
    let key = own_keys().fence(&DatabaseName::from("ledger-1"));
    let put = put(StoreKeys::put_fence(
        key.clone(),
        FenceId(u64::MAX),
        LeaseId(3),
    ));
    assert_eq!(put.key, key);
    assert_eq!(put.lease, Some(LeaseId(3)));
    assert_eq!(&put.value[..], b"18446744073709551615");
}

/// A value that is no round counts as a separate round, numbered by the revision at which it was put.
#[rstest]
#[case::a_round(b"77", 77)]
#[case::the_greatest_round(b"18446744073709551615", u64::MAX)]
#[case::nothing(b"", 9)]
#[case::no_number(b"{}", 9)]
#[case::no_text(b"\xff", 9)]
fn a_fence_is_read(#[case] value: &'static [u8], #[case] round: u64) {
    let keys = own_keys();
    let database = DatabaseName::from("ledger-1");
    let entry = entry(keys.fence(&database), value);
    assert_eq!(keys.fence_of(&entry), Some((database, FenceId(round))));
}

#[test]
fn an_entry_of_a_node_is_no_fence() {
    let keys = own_keys();
    assert_eq!(keys.fence_of(&entry(keys.node(), RECORD.as_bytes())), None);
}

#[test]
fn the_number_of_nodes_is_a_decimal_without_a_lease() {
    let keys = own_keys();
    let put = put(keys.put_fleet_size(985));
    assert_eq!((put.key.clone(), put.lease), (keys.fleet_size(), None));
    assert_eq!(put.value, Bytes::from_static(b"985"));
    assert_eq!(StoreKeys::fleet_size_of(&entry(put.key, b"985")), Some(985));
    let other = entry(keys.fleet_size(), br#"{"nodes":985}"#);
    assert_eq!(StoreKeys::fleet_size_of(&other), None);
}
