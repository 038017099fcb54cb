//! The proxy daemon: tokio and tower services around the coordination parts of `dyketally`.

mod accept;
pub mod admin;
pub mod clock;
pub mod edge;
pub mod home;
pub mod homes;
pub mod link;
pub mod logging;
pub mod node;
pub mod peers;
pub mod reply;
pub mod settings;
pub mod stores;
