//! The keys that nodes keep in the store, and what lies under them. Nodes of other builds read them, so
//! names and forms stay. Owns nothing; relies on the record of a node.

use bytes::Bytes;
use dyketally::failover::FenceId;
use dyketally::identifiers::{DatabaseName, NodeName};
use dyketally_store::key_value::{Entry, Key, LeaseId, Operation, PutRequest};

use crate::fleet::membership::NodeRecord;

/// What precedes a node's name.
const NODES: &str = "nodes/";
/// The failover coordinator's key, by its older name.
const COORDINATOR: &str = "duty/primary-control";
/// What precedes the name of a database that is being replaced.
const FENCES: &str = "fences/";

/// The keys of one node, and of what all nodes share.
#[derive(Clone, Debug)]
pub struct Keys {
    prefix: String,
    record: NodeRecord,
}

impl Keys {
    /// The keys of the node that `record` describes, below `prefix`.
    pub fn new(prefix: String, record: NodeRecord) -> Self {
        Self { prefix, record }
    }

    /// What this node keeps in the store.
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

    /// The node that `key` is about, if it is one of [`Keys::of_node`].
    pub fn node_of(&self, key: &Key) -> Option<NodeName> {
        let text = key.to_string();
        let name = text.strip_prefix(&self.prefix)?.strip_prefix(NODES)?;
        Some(NodeName::from(name))
    }

    /// The key of the failover coordinator.
    pub fn coordinator(&self) -> Key {
        Key::from(format!("{}{COORDINATOR}", self.prefix))
    }

    /// The key that says that a primary is being replaced.
    pub fn fence(&self, database: &DatabaseName) -> Key {
        Key::from(format!("{}{FENCES}{database}", self.prefix))
    }

    /// The database that `key` is about, if it is one of [`Keys::fence`].
    pub fn fenced(&self, key: &Key) -> Option<DatabaseName> {
        let text = key.to_string();
        let database = text.strip_prefix(&self.prefix)?.strip_prefix(FENCES)?;
        Some(DatabaseName::from(database))
    }

    /// Puts the round of a fence under `key`, one of [`Keys::fence`], for as long as `lease` runs.
    pub fn put_fence(key: Key, id: FenceId, lease: LeaseId) -> Operation {
        Operation::Put(PutRequest {
            key,
            value: Bytes::from(id.0.to_string()),
            lease: Some(lease),
        })
    }

    /// The database and the round that an entry is about, if its key is one of [`Keys::fence`].
    pub fn fence_of(&self, entry: &Entry) -> Option<(DatabaseName, FenceId)> {
        let database = self.fenced(&entry.key)?;
        let text = std::str::from_utf8(&entry.value).ok();
        let id = text.and_then(|text| text.parse().ok());
        // A fence without a round counts as a round of its own.
        Some((database, FenceId(id.unwrap_or(entry.modified.0))))
    }

    /// Puts this node's record under `key`, for as long as `lease` runs.
    pub fn put(&self, key: Key, lease: LeaseId) -> Operation {
        let value = serde_json::to_vec(&self.record);
        let value = value.expect("a record of names, numbers and an address has a JSON form");
        Operation::Put(PutRequest {
            key,
            value: Bytes::from(value),
            lease: Some(lease),
        })
    }
}
