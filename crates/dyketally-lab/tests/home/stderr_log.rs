//! Prints what the stand-ins log, so that a test that fails shows it.

use std::sync::Once;

struct StderrLog;

impl log::Log for StderrLog {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            eprintln!("{}", record.args());
        }
    }

    fn flush(&self) {}
}

/// Begins to print; further calls change nothing.
pub fn print_log() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        // Fails only where another logger is set, which then prints.
        let _ = log::set_logger(&StderrLog);
        log::set_max_level(log::LevelFilter::Info);
    });
}
