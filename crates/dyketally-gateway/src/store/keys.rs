//! The keys that nodes keep in the store, and the encoding of their values. Nodes of other builds read them, so key
//! names and encodings must not change. Owns nothing; relies on the record of a node.

use bytes::Bytes;
use dyketally::failover::FenceId;
use dyketally::identifiers::{DatabaseName, NodeName};
use dyketally_store::key_value::{Entry, Key, LeaseId, Operation, PutRequest};

use crate::fleet::membership::NodeRecord;

/// Prefix of a node's name in the key of the node.
const NODES: &str = "nodes/";
/// The failover coordinator's key; it keeps the name that the coordinator had in older builds.
const COORDINATOR: &str = "duty/primary-control";
/// The key of the number of nodes. It is bound to no lease, so that nodes find it when all of them start again.
const FLEET_SIZE: &str = "fleet/size";
/// Prefix of a database's name in the key of the fence around it.
const FENCES: &str = "fences/";

/// The keys of one node, and the keys that all nodes share.
#[derive(Clone, Debug)]
pub struct StoreKeys {
    prefix: String,
    record: NodeRecord,
}

impl StoreKeys {
    /// The keys of the node that `record` describes, below `prefix`.
    pub fn new(prefix: String, record: NodeRecord) -> Self {
        Self { prefix, record }
    }

    /// The record that this node puts under its keys.
    pub fn record(&self) -> &NodeRecord {
        &self.record
    }

    /// The key of this node.
    pub fn node(&self) -> Key {
        self.of_node(&self.record.node)
    }

    /// The key of a node.
    pub fn of_node(&self, name: &NodeName) -> Key {
        Key::from(format!("{}{NODES}{name}", self.prefix))
    }

    /// The name of the node whose key `key` is; `None` if it is no key of a node.
    pub fn node_of(&self, key: &Key) -> Option<NodeName> {
        let text = key.to_string();
        let name = text.strip_prefix(&self.prefix)?.strip_prefix(NODES)?;
        Some(NodeName::from(name))
    }

    /// The key of the failover coordinator.
    pub fn coordinator(&self) -> Key {
        Key::from(format!("{}{COORDINATOR}", self.prefix))
    }

    /// The key of the number of nodes in a large fleet.
    pub fn fleet_size(&self) -> Key {
        Key::from(format!("{}{FLEET_SIZE}", self.prefix))
    }

    /// The operation that puts the number of nodes.
    pub fn put_fleet_size(&self, nodes: usize) -> Operation {
        Operation::Put(PutRequest {
            key: self.fleet_size(),
            value: Bytes::from(nodes.to_string()),
            lease: None,
        })
    }

    /// The number of nodes in the value of [`StoreKeys::fleet_size`]; `None` if it is none.
    pub fn fleet_size_of(entry: &Entry) -> Option<usize> {
        std::str::from_utf8(&entry.value).ok()?.parse().ok()
    }

    /// The key of the fence around `database`, which exists while the database is being replaced.
    pub fn fence(&self, database: &DatabaseName) -> Key {
        Key::from(format!("{}{FENCES}{database}", self.prefix))
    }

    /// The database whose fence's key `key` is; `None` if it is no key of a fence.
    pub fn fenced(&self, key: &Key) -> Option<DatabaseName> {
        let text = key.to_string();
        let database = text.strip_prefix(&self.prefix)?.strip_prefix(FENCES)?;
        Some(DatabaseName::from(database))
    }

    /// The operation that puts the round of a fence under `key`, a key made by [`StoreKeys::fence`], for as long
    /// as `lease` is held.
    pub fn put_fence(key: Key, id: FenceId, lease: LeaseId) -> Operation {
        Operation::Put(PutRequest {
            key,
            value: Bytes::from(id.0.to_string()),
            lease: Some(lease),
        })
    }

    /// The fenced database and the fence's round, if `entry` is the entry of a fence.
    pub fn fence_of(&self, entry: &Entry) -> Option<(DatabaseName, FenceId)> {
        let database = self.fenced(&entry.key)?;
        let text = std::str::from_utf8(&entry.value).ok();
        let id = text.and_then(|text| text.parse().ok());
        // A value that is no round counts as a separate round, numbered by the entry's revision.
        Some((database, FenceId(id.unwrap_or(entry.modified.0))))
    }

    /// The operation that puts this node's record under `key` for as long as `lease` is held.
    pub fn put_record(&self, key: Key, lease: LeaseId) -> Operation {
        let value = serde_json::to_vec(&self.record);
        let value = value.expect("a record of names, numbers and an address has a JSON form");
        Operation::Put(PutRequest {
            key,
            value: Bytes::from(value),
            lease: Some(lease),
        })
    }
}
