//! What a planned stop of a proxy cut off, as its log tells.

use std::path::Path;
use std::process::ExitStatus;

use eyre::ensure;

/// The line of a stop that cut nothing off.
const CLEAN: &str = "stopped: nothing was cut off";

/// Begin of the line of a stop that cut something off.
const CUT_OFF: &str = "stopped at the drain deadline: ";

/// Sessions, requests and transactions that the proxy `name` cut off.
///
/// # Errors
/// When it ended with an error or its log does not tell how it stopped.
pub(super) fn cut_off_by(logs: &Path, name: &str, status: ExitStatus) -> eyre::Result<u64> {
    ensure!(status.success(), "{name} ended with {status}; see its log");
    let log = std::fs::read_to_string(logs.join(format!("{name}.log")))?;
    if let Some((_, counts)) = log.rsplit_once(CUT_OFF) {
        let line = counts.lines().next().unwrap_or_default();
        let numbers = line
            .split_whitespace()
            .filter_map(|word| word.parse::<u64>().ok());
        return Ok(numbers.sum());
    }
    ensure!(
        log.contains(CLEAN),
        "the log of {name} does not tell how it stopped"
    );
    Ok(0)
}
