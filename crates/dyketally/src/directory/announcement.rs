//! What a database announces of itself, and whether that names a database that can be used.

use std::net::SocketAddr;
use std::time::Duration;

use crate::group::Role;
use crate::identifiers::{DatabaseName, GroupName, ZoneName};

/// Unix millisecond at which a database started. Together with its name it identifies one life of the database: one that
/// starts again under its name holds and knows nothing of before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation(pub u64);

/// What a database announces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The database.
    pub database: DatabaseName,
    /// The group it belongs to.
    pub group: GroupName,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// Where it runs.
    pub zone: ZoneName,
    /// Most statements that it runs at the same time.
    pub slots: u32,
    /// True when it accepts new statements.
    pub ready: bool,
    /// The role it believes it has.
    pub role: Role,
    /// Time left after its start in which it cannot take its full load.
    pub cold_for: Duration,
    /// When it started; `None` if it doesn't tell.
    pub incarnation: Option<Incarnation>,
}

/// Why an announcement names no database that can be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidAnnouncement {
    /// The port of the address is zero.
    #[error("the address has port 0, at which nothing can listen")]
    NoPort,
    /// A name can't be sent as one word.
    #[error("the name of the {0} is empty, or has blanks or control characters")]
    NotAWord(&'static str),
}

impl Announcement {
    /// Checks that the announced database can be connected to.
    ///
    /// # Errors
    /// Why it can't.
    pub fn validate(&self) -> Result<(), InvalidAnnouncement> {
        if self.address.port() == 0 {
            return Err(InvalidAnnouncement::NoPort);
        }
        let names = [
            ("database", self.database.as_str()),
            ("group", self.group.as_str()),
        ];
        let is_word = |name: &str| {
            let breaks = |it: char| it.is_whitespace() || it.is_control();
            !name.is_empty() && !name.contains(breaks)
        };
        match names.into_iter().find(|(_, name)| !is_word(name)) {
            Some((what, _)) => Err(InvalidAnnouncement::NotAWord(what)),
            None => Ok(()),
        }
    }
}
