//! Differences between two versions of a document, for those who have the older one.
//!
//! A document is cut into pieces behind each closing brace, so that an entry of a list is a piece of its
//! own wherever it stands. A difference names the runs of pieces that the older version has, and holds
//! the rest.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// What ends a piece.
const PIECE_END: u8 = b'}';

/// How to make a newer version out of an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    parts: Vec<Part>,
}

/// One run of bytes of the newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// So many bytes of the older version from `start` on.
    Kept { start: u32, length: u32 },
    /// Bytes that the older version doesn't have.
    New(Vec<u8>),
}

impl Delta {
    /// The difference from `old` to `new`; `None` for documents of 4 GiB or more.
    pub fn between(old: &[u8], new: &[u8]) -> Option<Self> {
        u32::try_from(old.len().max(new.len())).ok()?;
        let mut known = HashMap::new();
        let mut start = 0;
        for piece in pieces(old) {
            known.entry(piece).or_insert(start);
            start += piece.len();
        }
        let mut parts = Parts::default();
        for piece in pieces(new) {
            match parts.following(old, piece).or(known.get(piece).copied()) {
                Some(start) => parts.keep(start, piece.len()),
                None => parts.add(piece),
            }
        }
        Some(Self { parts: parts.done })
    }

    /// The newer version; `None` if `old` isn't the version that the difference was made for.
    pub fn apply(&self, old: &[u8]) -> Option<Vec<u8>> {
        let mut new = Vec::new();
        for part in &self.parts {
            match part {
                Part::Kept { start, length } => {
                    let start = *start as usize;
                    let end = start.checked_add(*length as usize)?;
                    new.extend_from_slice(old.get(start..end)?);
                }
                Part::New(bytes) => new.extend_from_slice(bytes),
            }
        }
        Some(new)
    }
}

fn pieces(document: &[u8]) -> impl Iterator<Item = &[u8]> {
    document.split_inclusive(|byte| *byte == PIECE_END)
}

/// Parts under construction, of which neighbours are joined.
#[derive(Default)]
struct Parts {
    done: Vec<Part>,
}

impl Parts {
    /// Where `piece` stands in `old` if that is right behind the last run that was kept.
    fn following(&self, old: &[u8], piece: &[u8]) -> Option<usize> {
        let Some(Part::Kept { start, length }) = self.done.last() else {
            return None;
        };
        let end = (*start + *length) as usize;
        old.get(end..)?.starts_with(piece).then_some(end)
    }

    fn keep(&mut self, from: usize, bytes: usize) {
        if let Some(Part::Kept { start, length }) = self.done.last_mut()
            && (*start + *length) as usize == from
        {
            *length += bytes as u32;
            return;
        }
        self.done.push(Part::Kept {
            start: from as u32,
            length: bytes as u32,
        });
    }

    fn add(&mut self, piece: &[u8]) {
        match self.done.last_mut() {
            Some(Part::New(bytes)) => bytes.extend_from_slice(piece),
            Some(Part::Kept { .. }) | None => self.done.push(Part::New(piece.to_vec())),
        }
    }
}
