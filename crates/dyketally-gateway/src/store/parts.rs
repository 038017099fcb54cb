//! The objects that the tasks of this layer share. Owns nothing.

use std::rc::Rc;

use dyketally_store::key_value::KeyValueStore;

use super::feed::Feed;
use super::keys::StoreKeys;
use crate::context::Context;
use crate::fleet::Fleet;

/// The store, this node's keys in it, and the state that tasks need to read and to write these keys.
#[derive(Clone)]
pub struct StoreParts {
    /// Clock, settings, log and contact.
    pub cx: Rc<Context>,
    /// The other nodes.
    pub fleet: Rc<Fleet>,
    /// This node's copies of the store's keys, and the relay that they come from, if any.
    pub feed: Rc<Feed>,
    /// The client of the store.
    pub store: Rc<dyn KeyValueStore>,
    /// This node's keys.
    pub keys: Rc<StoreKeys>,
}
