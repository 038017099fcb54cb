//! Load pattern: many groups, each of which gets a few statements a second from any of hundreds of nodes. A database that
//! granted 428 connections had 32 homes, and each home's idle connection was closed before the next statement came: nearly
//! every statement opened a connection, which costs the caller a handshake and the database a slot.

use std::collections::HashMap;

use dyketally::identifiers::{DatabaseName, Locality, NodeName};
use dyketally::placement::{Candidate, LinkClass, NORMAL_WEIGHT, Sharing, preference, rank};

const GRANTED: u32 = 428;
const SLOTS: u32 = 3;
/// How long a home keeps its last idle connection.
const IDLE_SECONDS: f64 = 15.0;
/// Statements a second at one database, from all nodes together.
const STATEMENTS_A_SECOND: f64 = 1.5;
const STATEMENTS: usize = 3_000;

/// Statements out of [`STATEMENTS`] that open a connection at a home of one database in a fleet of `nodes` nodes.
fn opened(nodes: usize) -> usize {
    let locality = Locality {
        region: "region".into(),
        zone: "zone".into(),
    };
    let names = (0..nodes).map(|number| NodeName::new(format!("node-{number}")));
    let names: Vec<NodeName> = names.collect();
    let candidates = names.iter().map(|node| Candidate {
        node,
        locality: &locality,
        weight: NORMAL_WEIGHT,
        leaving: false,
        link: LinkClass::default(),
    });
    let count = Sharing::of(GRANTED, nodes, SLOTS).homes(nodes);
    let database = DatabaseName::new("database");
    let homes = rank(&database, &locality, candidates, count);
    let mut last_used: HashMap<&NodeName, f64> = HashMap::new();
    let mut opened = 0;
    for statement in 0..STATEMENTS {
        let now = statement as f64 / STATEMENTS_A_SECOND;
        let home = preference(&names[statement * 7_919 % nodes], &homes)[0];
        let idle = last_used.insert(home, now).map(|last| now - last);
        opened += usize::from(idle.is_none_or(|idle| idle > IDLE_SECONDS));
    }
    opened
}

#[test]
fn few_statements_open_a_connection_at_any_number_of_nodes() {
    for nodes in [250, 1_000, 2_000] {
        let opened = opened(nodes);
        assert!(
            opened * 100 <= STATEMENTS,
            "{opened} of {STATEMENTS} statements opened a connection at {nodes} nodes"
        );
    }
}
