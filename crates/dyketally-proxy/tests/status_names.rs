//! Pins the names of the admin status and of the counters, which operators' tools read. Names that are derived from
//! fields and variants would change with them, without a message of the compiler.

use std::collections::BTreeSet;

use dyketally::admission::TenantCounters;
use dyketally::membership::MemberState;
use dyketally::pool::PoolCounters;
use dyketally::retry::RetryCounters;
use dyketally_proxy::admin::{
    CallerStatus, HomeStatus, NodeEntry, NodeState, NodeStatus, PrimaryStatus, TenantQueue,
};
use dyketally_proxy::edge::EdgeCounts;
use dyketally_proxy::home::counters::HomeCounters;
use serde::Serialize;
use serde_json::Value;

fn json(value: &impl Serialize) -> Value {
    serde_json::to_value(value).expect("JSON")
}

/// The names of all fields at any depth.
fn field_names(value: &Value, names: &mut BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                names.insert(name.clone());
                field_names(value, names);
            }
        }
        Value::Array(values) => values.iter().for_each(|value| field_names(value, names)),
        _ => {}
    }
}

fn names_of(value: &impl Serialize) -> String {
    let mut names = BTreeSet::new();
    field_names(&json(value), &mut names);
    Vec::from_iter(names).join(" ")
}

#[test]
fn states_keep_their_names() {
    let states = [NodeState::Starting, NodeState::Ready, NodeState::Leaving];
    assert_eq!(
        json(&states).to_string(),
        r#"["starting","ready","leaving"]"#
    );
    assert_eq!(
        states.map(NodeState::as_str).join(" "),
        "starting ready leaving"
    );
    let members = [
        MemberState::Alive,
        MemberState::Leaving,
        MemberState::Suspect,
        MemberState::Unreachable,
        MemberState::Dead,
        MemberState::Left,
    ];
    let pinned = r#"["alive","leaving","suspect","unreachable","dead","left"]"#;
    assert_eq!(json(&members).to_string(), pinned);
}

#[test]
fn fields_of_the_status_keep_their_names() {
    let locality = dyketally::identifiers::Locality {
        region: "south".into(),
        zone: "a".into(),
    };
    let status = NodeStatus {
        node: "proxy-1".into(),
        incarnation: 3,
        state: NodeState::Ready,
        locality: locality.clone(),
        revision: dyketally::policy::Revision(5),
        members: vec![NodeEntry {
            node: "proxy-2".into(),
            state: MemberState::Alive,
            incarnation: 1,
            locality,
            revision: dyketally::policy::Revision(4),
        }],
        homes: vec![HomeStatus {
            database: "orders-1".into(),
            group: "orders".into(),
            primary: Some(PrimaryStatus {
                database: "orders-1".into(),
                term: dyketally::group::Term(2),
            }),
            log: Some(dyketally::group::LogPosition::default()),
            connections: 1,
            connection_limit: 2,
            slots_busy: 3,
            slots: 4,
            queued: vec![TenantQueue {
                tenant: "huber".into(),
                queued: 5,
            }],
        }],
        callers: CallerStatus::default(),
    };
    let pinned = "callers connected connection_limit connections database group homes in_transaction \
                  incarnation limit locality log members node offset primary queued region revision \
                  slots slots_busy state tenant term zone";
    assert_eq!(names_of(&status), pinned);
}

#[test]
fn counters_keep_their_names() {
    let home: Vec<&str> = HomeCounters::default()
        .values()
        .map(|counter| counter.name)
        .collect();
    let pinned = "requests done not_run unknown redirected rolled_back replica_reads primary_reads \
                  writes_confirmed writes_not_confirmed resolved_done resolved_not_run \
                  ledger_refusals cancels transactions_abandoned";
    assert_eq!(home.join(" "), pinned);
    let pinned = "batches batches_refused callers callers_accepted callers_refused cancel_requests \
                  done in_transaction not_run protocol_violations reads rolled_back unknown";
    assert_eq!(names_of(&EdgeCounts::default()), pinned);
    let pinned = "lost opened refused_cannot_connect refused_too_many retired returned_dirty \
                  unexpected_reports unreachable used";
    assert_eq!(names_of(&PoolCounters::default()), pinned);
    let pinned = "admitted busy enqueued expired finished nanos rejected secs withdrawn";
    assert_eq!(names_of(&TenantCounters::default()), pinned);
    let pinned = "budget_spent deadline_too_near fresh not_repeatable retried";
    assert_eq!(names_of(&RetryCounters::default()), pinned);
}
