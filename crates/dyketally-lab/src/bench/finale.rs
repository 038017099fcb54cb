//! What is there in the end: the rows of a group, as events of the history.

use dyketally::history::Event;

use super::group::Group;
use super::recorder::Recorder;
use super::workload::history_key;

/// Tables whose rows each come from one write.
const INSERTED: [&str; 3] = ["orders", "payments", "seats"];

/// Waits until all members of a group agree, and adds the rows of the workloads to the history.
///
/// # Errors
/// When the members don't agree in time or can't be read.
pub async fn record_final_rows(group: &Group, recorder: &Recorder) -> eyre::Result<()> {
    group.caught_up().await?;
    for table in INSERTED {
        for row in group.table(table).await? {
            push_entry(recorder, table, &row.key, row.value.unwrap_or_default(), 1);
        }
    }
    for row in group.table("stock").await? {
        let value = row.value.unwrap_or_default();
        push_entry(recorder, "stock", &row.key, value, 1);
    }
    // A counter tells how often its post was applied.
    for row in group.table("results").await? {
        let times: u64 = row.value.unwrap_or_default().parse()?;
        if times > 0 {
            push_entry(recorder, "results", &row.key, String::from("1"), times);
        }
    }
    Ok(())
}

fn push_entry(recorder: &Recorder, table: &str, key: &str, value: String, times: u64) {
    recorder.push(Event::FinalEntry {
        key: history_key(table, key),
        value,
        times,
    });
}
