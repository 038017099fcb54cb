//! Slots: statements that run at one time, each for the service time.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::time::Instant;

use super::sync::lock;

/// Sleep beyond what was asked for that a slot makes up for by sleeping less later on.
const LARGEST_CREDIT: Duration = Duration::from_millis(5);

/// The slots of one database. Waiting statements are served in order of arrival.
#[derive(Debug)]
pub struct Slots {
    permits: Semaphore,
    count: u32,
    service_time_us: AtomicU64,
    most_busy: AtomicU64,
    started: AtomicU64,
    /// What each idle slot has slept too long; the timer's resolution is a millisecond.
    credits: Mutex<Vec<Duration>>,
}

/// One slot, taken until dropped.
#[derive(Debug)]
pub struct Slot<'a> {
    slots: &'a Slots,
    credit: Duration,
    _permit: SemaphorePermit<'a>,
}

impl Slots {
    /// `count` free slots.
    pub fn new(count: u32, service_time: Duration) -> Self {
        let slots = Self {
            permits: Semaphore::new(count as usize),
            count,
            service_time_us: AtomicU64::new(0),
            most_busy: AtomicU64::new(0),
            started: AtomicU64::new(0),
            credits: Mutex::new(Vec::new()),
        };
        slots.set_service_time(service_time);
        slots
    }

    /// Sets the time that a statement holds its slot.
    pub fn set_service_time(&self, service_time: Duration) {
        let microseconds = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX);
        self.service_time_us.store(microseconds, Ordering::Relaxed);
    }

    /// The time that a statement holds its slot.
    pub fn service_time(&self) -> Duration {
        Duration::from_micros(self.service_time_us.load(Ordering::Relaxed))
    }

    /// Slots that are taken.
    pub fn busy(&self) -> u64 {
        u64::from(self.count).saturating_sub(self.permits.available_permits() as u64)
    }

    /// The most slots that were taken at one time.
    pub fn most_busy(&self) -> u64 {
        self.most_busy.load(Ordering::Relaxed)
    }

    /// Statements that have got a slot so far.
    pub fn started(&self) -> u64 {
        self.started.load(Ordering::Relaxed)
    }

    /// Waits for a slot.
    pub async fn take(&self) -> Slot<'_> {
        let permit = self.permits.acquire().await;
        // The semaphore is never closed.
        let permit = permit.expect("the semaphore of the slots is open");
        self.started.fetch_add(1, Ordering::Relaxed);
        self.most_busy.fetch_max(self.busy(), Ordering::Relaxed);
        Slot {
            slots: self,
            credit: lock(&self.credits).pop().unwrap_or_default(),
            _permit: permit,
        }
    }
}

impl Slot<'_> {
    /// Holds the slot for the service time and `extra`.
    pub async fn work(&mut self, extra: Duration) {
        let duration = self.slots.service_time() + extra;
        let wanted = duration.saturating_sub(self.credit);
        self.credit = self.credit.saturating_sub(duration);
        if wanted.is_zero() {
            return;
        }
        let start = Instant::now();
        tokio::time::sleep(wanted).await;
        let too_long = start.elapsed().saturating_sub(wanted);
        self.credit = (self.credit + too_long).min(LARGEST_CREDIT);
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        lock(&self.slots.credits).push(self.credit);
    }
}
