//! Cancel requests: a caller may ask on another connection to stop its running statement.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tokio_util::sync::CancellationToken;

/// What a caller needs to cancel its statements.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CancelKey {
    /// Stands for the process id that PostgreSQL would tell.
    pub process: i32,
    /// The secret.
    pub secret: i32,
}

type Running = HashMap<CancelKey, CancellationToken>;

/// The sessions of an edge and the statement that each runs now.
#[derive(Clone, Debug, Default)]
pub struct CancelRegistry {
    running: Arc<Mutex<Running>>,
}

impl CancelRegistry {
    /// Enters a new session under an unused key.
    pub fn enter(&self) -> CancelEntry {
        let mut running = self.lock();
        let key = loop {
            let candidate = CancelKey {
                process: rand::random_range(1..=i32::MAX),
                secret: rand::random(),
            };
            if !running.contains_key(&candidate) {
                break candidate;
            }
        };
        running.insert(key, CancellationToken::new());
        CancelEntry {
            key,
            registry: self.clone(),
        }
    }

    /// Cancels what the session with `key` runs; an unknown key is ignored, as PostgreSQL does.
    pub fn cancel(&self, key: CancelKey) {
        if let Some(statement) = self.lock().get(&key) {
            statement.cancel();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Running> {
        self.running
            .lock()
            .expect("no code panics while it holds this lock")
    }
}

/// One session's place in the registry; leaves it when dropped.
#[derive(Debug)]
pub struct CancelEntry {
    key: CancelKey,
    registry: CancelRegistry,
}

impl CancelEntry {
    /// What the caller is told.
    pub fn key(&self) -> CancelKey {
        self.key
    }

    /// Makes `statement` the one that a cancel request stops.
    pub fn set_running(&self, statement: CancellationToken) {
        self.registry.lock().insert(self.key, statement);
    }
}

impl Drop for CancelEntry {
    fn drop(&mut self) {
        self.registry.lock().remove(&self.key);
    }
}
