//! Outside services: a key-value service that holds the configuration, and a list of machines.
//!
//! Both are met through a trait with two implementations: HTTP, for the real ones, and memory,
//! for tests. No statement waits for either of them.

pub mod configuration_store;
pub mod dissemination;
pub mod etcd;
pub use dyketally_store::key_value;
pub mod machine_list;
pub mod machine_list_http;
pub mod memory;
pub mod operations;
mod patience;
pub mod relay_watch;
pub use dyketally_store::error as store_error;
pub mod wire;

pub use configuration_store::{ConfigurationKeys, ConfigurationStore};
pub use dissemination::Dissemination;
pub use etcd::{EtcdGateway, EtcdSettings};
pub use key_value::KeyValueStore;
pub use machine_list::MachineList;
pub use machine_list_http::HttpMachineList;
pub use store_error::StoreError;
