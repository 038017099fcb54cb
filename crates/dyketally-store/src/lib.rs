//! The key-value store that keeps what must last: the port, without an implementation.

pub mod error;
pub mod key_value;
pub mod update;
pub mod watch;

pub use error::StoreError;
pub use key_value::KeyValueStore;
