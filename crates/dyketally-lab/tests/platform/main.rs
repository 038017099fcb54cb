//! The platform: one contract for the store and the machine list in memory and over HTTP.

mod backend;
mod dissemination;
mod documents;
mod fault_contract;
mod gateway_messages;
mod lease_contract;
mod machine_contract;
mod publish_contract;
mod store_contract;
mod watch_contract;
