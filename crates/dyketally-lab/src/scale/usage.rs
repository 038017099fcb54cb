//! Processor time and memory of this process, from /proc.

use std::time::Duration;

use eyre::{OptionExt, WrapErr};

const PAGE_BYTES: u64 = 4_096;
const TICKS_PER_SECOND: u64 = 100;

/// Fields of /proc/self/stat after the command name that precede the user time.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Processor time of this process, in user and kernel mode.
///
/// # Errors
/// When /proc can't be read.
pub fn processor_time() -> eyre::Result<Duration> {
    let text = std::fs::read_to_string("/proc/self/stat").wrap_err("can't read /proc/self/stat")?;
    let (_, fields) = text
        .rsplit_once(')')
        .ok_or_eyre("/proc/self/stat has no command name")?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let mut next = || -> eyre::Result<u64> {
        let field = times.next().ok_or_eyre("/proc/self/stat is too short")?;
        Ok(field.parse()?)
    };
    let ticks = next()? + next()?;
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}

/// Resident memory of this process, in bytes.
///
/// # Errors
/// When /proc can't be read.
pub fn resident_bytes() -> eyre::Result<u64> {
    let text =
        std::fs::read_to_string("/proc/self/statm").wrap_err("can't read /proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages.ok_or_eyre("/proc/self/statm is too short")?.parse()?;
    Ok(pages * PAGE_BYTES)
}
