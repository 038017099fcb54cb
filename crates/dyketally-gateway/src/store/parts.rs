//! What the tasks of this layer share. Owns nothing.

use std::rc::Rc;

use dyketally_store::key_value::KeyValueStore;

use super::feed::Feed;
use super::keys::Keys;
use crate::context::Context;
use crate::fleet::Fleet;

/// The store, this node's keys in it, and what is needed to work with them.
#[derive(Clone)]
pub struct StoreParts {
    /// Clock, settings, log and contact.
    pub cx: Rc<Context>,
    /// The other nodes.
    pub fleet: Rc<Fleet>,
    /// Copies of the store's keys, and the relay that sends them on to this node.
    pub feed: Rc<Feed>,
    /// The store.
    pub store: Rc<dyn KeyValueStore>,
    /// This node's keys.
    pub keys: Rc<Keys>,
}
