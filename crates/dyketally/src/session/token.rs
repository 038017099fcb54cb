//! Session token: a text that a caller keeps, by which any edge lets it read its own writes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::group::{LogPosition, Term};
use crate::identifiers::GroupName;

/// The newest log position that a session has seen by its writes and primary reads in one group.
///
/// Its text form is `v1:<group>:<term>:<offset>`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SessionToken {
    /// The group in which the position is valid.
    pub group: GroupName,
    /// The position that a database's log must contain to serve the session's reads.
    pub seen: LogPosition,
}

/// The caller's text isn't a session token.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "session token {text:?} is malformed; pass the value of the parameter `dyketally.session` \
     unchanged, or leave it out to read from the primary"
)]
pub struct MalformedToken {
    /// The caller's text, shortened if it is long.
    pub text: String,
}

const VERSION_TAG: &str = "v1";
/// Longest token quoted in a message, in characters.
const LONGEST_QUOTED_TOKEN: usize = 80;

impl fmt::Display for SessionToken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogPosition { term, offset } = self.seen;
        write!(
            formatter,
            "{VERSION_TAG}:{}:{}:{offset}",
            self.group, term.0
        )
    }
}

impl FromStr for SessionToken {
    type Err = MalformedToken;

    fn from_str(text: &str) -> Result<Self, MalformedToken> {
        parse(text).ok_or_else(|| MalformedToken {
            text: text.chars().take(LONGEST_QUOTED_TOKEN).collect(),
        })
    }
}

fn parse(text: &str) -> Option<SessionToken> {
    let mut fields = text.split(':');
    let (version, group) = (fields.next()?, fields.next()?);
    let (term, offset) = (fields.next()?, fields.next()?);
    if version != VERSION_TAG || group.is_empty() || fields.next().is_some() {
        return None;
    }
    let term = Term(term.parse().ok()?);
    let offset = offset.parse().ok()?;
    Some(SessionToken {
        group: GroupName::new(group),
        seen: LogPosition { term, offset },
    })
}
