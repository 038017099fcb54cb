//! Deltas between two versions of a document, for receivers that have the older version.
//!
//! A document is split after each closing brace, so that an entry of a list is one piece wherever it is in
//! the document. A delta refers to the runs of pieces that the older version contains, and holds all other
//! bytes itself.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Last byte of a piece.
const PIECE_END: u8 = b'}';

/// Builds a newer version of a document from an older one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    parts: Vec<Part>,
}

/// One run of bytes of the newer version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Part {
    /// `length` bytes of the older version, from byte `start` on.
    Kept { start: u32, length: u32 },
    /// Bytes that the older version does not contain.
    New(Vec<u8>),
}

impl Delta {
    /// The delta from `old` to `new`; `None` for documents of 4 GiB or more.
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

    /// The newer version; `None` if `old` lacks a range that the delta refers to. Another document than the
    /// one that the delta was made for is detected only by that, and may otherwise give a wrong result.
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

/// Parts of a delta under construction; adjacent runs are merged.
#[derive(Default)]
struct Parts {
    done: Vec<Part>,
}

impl Parts {
    /// Start of `piece` in `old` if it directly follows the last kept run there.
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
