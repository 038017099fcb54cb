//! Steps that are checked and printed one a line.

use std::fmt::Display;
use std::time::Instant;

/// Prints steps and counts how they went.
#[derive(Debug)]
pub struct Steps {
    name: &'static str,
    started: Instant,
    passed: usize,
    failed: usize,
}

impl Steps {
    /// Steps of the command `name`.
    pub fn new(name: &'static str) -> Self {
        Self {
            name,
            started: Instant::now(),
            passed: 0,
            failed: 0,
        }
    }

    /// Prints one step: what it shows, and what was seen or why it failed.
    pub fn record<S: Display, E: Display>(&mut self, what: &str, seen: Result<S, E>) {
        let number = self.passed + self.failed + 1;
        let seconds = self.started.elapsed().as_secs_f64();
        match seen {
            Ok(seen) => {
                self.passed += 1;
                println!("{number:>2} ok     {seconds:>5.1} s  {what}: {seen}");
            }
            Err(error) => {
                self.failed += 1;
                println!("{number:>2} FAILED {seconds:>5.1} s  {what}: {error:#}");
            }
        }
    }

    /// Prints the summary.
    ///
    /// # Errors
    /// When a step failed.
    pub fn finish(self) -> eyre::Result<()> {
        let Self {
            name,
            passed,
            failed,
            ..
        } = self;
        println!("{name}: {passed} passed, {failed} failed");
        if failed > 0 {
            eyre::bail!("{failed} steps failed; see the lines above and the logs of the processes");
        }
        Ok(())
    }
}
