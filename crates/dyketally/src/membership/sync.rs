//! Exchange of the entries in which two member tables differ: pages and their pace.

use std::time::Duration;

use crate::time::Timestamp;

use super::digest::{BUCKETS, bucket_of};
use super::message::Update;
use super::table::{Entry, Status, Table};

/// Bytes of updates on one page; the rest of the datagram is for the header.
const PAGE_BYTES: usize = 1_000;

/// Pages in one answer at most.
const PAGES_PER_ANSWER: usize = 4;

/// Time between two requests of a node that is joining.
const JOINING_INTERVAL: Duration = Duration::from_millis(200);

/// Least time between two requests of a node that has joined.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// For this long after the start a node asks at this interval whether or not updates are on their
/// way: in a fleet that starts at once, whom it joined through knew little.
const SETTLING_TIME: Duration = Duration::from_secs(30);
const SETTLING_INTERVAL: Duration = Duration::from_millis(500);

/// Updates on their way make tables differ for a while: a node asks once nothing has changed for
/// this long, or when it has not asked for [`LONGEST_WAIT`].
const QUIET_TIME: Duration = Duration::from_secs(3);
const LONGEST_WAIT: Duration = Duration::from_secs(6);

/// When to ask and how much to answer.
#[derive(Debug)]
pub(super) struct SyncPace {
    /// The whole table has been received once.
    pub(super) joined: bool,
    started: Timestamp,
    last_request: Timestamp,
    last_change: Timestamp,
    allowance: f64,
    allowance_at: Timestamp,
}

impl SyncPace {
    pub(super) fn new(now: Timestamp) -> Self {
        Self {
            joined: false,
            started: now,
            last_request: now - REQUEST_INTERVAL,
            last_change: now,
            allowance: PAGES_PER_ANSWER as f64,
            allowance_at: now,
        }
    }

    /// The member table has changed.
    pub(super) fn changed(&mut self, now: Timestamp) {
        self.last_change = now;
    }

    /// The table is out of date as a whole: ask as a joining node does.
    pub(super) fn start_over(&mut self) {
        self.joined = false;
    }

    /// True when a request may be sent now; it then counts as sent.
    pub(super) fn take_request(&mut self, now: Timestamp) -> bool {
        let since_request = now.saturating_since(self.last_request);
        let since_change = now.saturating_since(self.last_change);
        let is_settling = now.saturating_since(self.started) < SETTLING_TIME;
        let due = if !self.joined {
            since_request >= JOINING_INTERVAL
        } else if is_settling {
            since_request >= SETTLING_INTERVAL
        } else {
            let quiet = since_change >= QUIET_TIME || since_request >= LONGEST_WAIT;
            since_request >= REQUEST_INTERVAL && quiet
        };
        if due {
            self.last_request = now;
        }
        due
    }

    /// Number of pages that may be sent now; they then count as sent.
    pub(super) fn take_pages(&mut self, pages_per_second: u32, now: Timestamp) -> usize {
        let elapsed = now.saturating_since(self.allowance_at).as_secs_f64();
        let most = f64::from(pages_per_second).max(PAGES_PER_ANSWER as f64);
        self.allowance = most.min(self.allowance + elapsed * f64::from(pages_per_second));
        self.allowance_at = now;
        let pages = (self.allowance as usize).min(PAGES_PER_ANSWER);
        self.allowance -= pages as f64;
        pages
    }

    /// Gives back pages that were taken and not needed.
    pub(super) fn give_back(&mut self, pages: usize) {
        self.allowance += pages as f64;
    }
}

/// Pages of one answer.
#[derive(Debug)]
pub(super) struct Pages {
    pub(super) pages: Vec<Vec<Update>>,
    /// Not all fitted.
    pub(super) more: bool,
}

/// Fills at most `most` pages with the entries of the `differing` buckets, from `first_bucket` on.
pub(super) fn fill_pages(
    table: &Table,
    differing: &[bool; BUCKETS],
    first_bucket: usize,
    most: usize,
) -> Pages {
    let mut entries: Vec<_> = table
        .iter()
        .map(|entry| (bucket_of(&entry.record.node), entry))
        .filter(|(bucket, _)| differing[*bucket])
        .collect();
    entries.sort_by_key(|(bucket, _)| (bucket + BUCKETS - first_bucket) % BUCKETS);
    let mut pages = vec![Vec::new()];
    let mut left = PAGE_BYTES;
    for (_, entry) in entries {
        let update = update_of(entry);
        let size = update.encoded_size();
        if size > left {
            if pages.len() == most {
                return Pages { pages, more: true };
            }
            pages.push(Vec::new());
            left = PAGE_BYTES;
        }
        left = left.saturating_sub(size);
        if let Some(page) = pages.last_mut() {
            page.push(update);
        }
    }
    Pages { pages, more: false }
}

/// What is held about a member, as an update. A suspicion is left out: it runs its own course.
pub(super) fn update_of(entry: &Entry) -> Update {
    let node = entry.record.node.clone();
    let incarnation = entry.record.incarnation;
    match entry.status {
        Status::Alive | Status::Suspect => Update::Alive(entry.record.clone()),
        Status::Dead => Update::Died { node, incarnation },
        Status::Left => Update::Left { node, incarnation },
    }
}
