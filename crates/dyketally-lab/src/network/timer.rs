//! A timer that is precise to well under a millisecond; the runtime's own rounds up to whole ones.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Condvar, Mutex, MutexGuard, OnceLock, PoisonError};
use std::thread;
use std::time::Instant;

use tokio::sync::oneshot;

struct Entry {
    due: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.due == other.due
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        self.due.cmp(&other.due)
    }
}

#[derive(Default)]
struct Timer {
    queue: Mutex<BinaryHeap<Reverse<Entry>>>,
    changed: Condvar,
}

impl Timer {
    fn lock(&self) -> MutexGuard<'_, BinaryHeap<Reverse<Entry>>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, due: Instant, wake: oneshot::Sender<()>) {
        let mut queue = self.lock();
        let is_first = queue.peek().is_none_or(|Reverse(first)| due < first.due);
        queue.push(Reverse(Entry { due, wake }));
        drop(queue);
        if is_first {
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut queue = self.lock();
        loop {
            let now = Instant::now();
            while queue.peek().is_some_and(|Reverse(first)| first.due <= now) {
                if let Some(Reverse(entry)) = queue.pop() {
                    // A sleeper that was dropped needs no wake-up.
                    let _ = entry.wake.send(());
                }
            }
            let next = queue.peek().map(|Reverse(first)| first.due);
            queue = match next {
                None => self
                    .changed
                    .wait(queue)
                    .unwrap_or_else(PoisonError::into_inner),
                Some(due) => {
                    let pause = due.saturating_duration_since(now);
                    self.changed
                        .wait_timeout(queue, pause)
                        .unwrap_or_else(PoisonError::into_inner)
                        .0
                }
            };
        }
    }
}

fn timer() -> &'static Timer {
    static TIMER: OnceLock<&'static Timer> = OnceLock::new();
    TIMER.get_or_init(|| {
        let timer: &'static Timer = Box::leak(Box::default());
        thread::spawn(move || timer.run());
        timer
    })
}

/// Waits until `due`, without rounding to the runtime's timer resolution.
pub async fn sleep_until(due: Instant) {
    if due <= Instant::now() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    timer().add(due, wake);
    // The timer thread lives as long as the process, so the sender is never dropped unsent.
    let _ = woken.await;
}
