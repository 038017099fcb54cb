//! Steps in which something fails, or is stopped.

use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{OptionExt, ensure};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use dyketally_proxy::stores::memory::{FaultPlan, Outage};

use crate::testbed::{
    Caller, Mix, Recorder, Reply, SampleOutcome, Signal, Workload, WorkloadCaller, poll_until,
};

use super::stage::{SECOND_TENANT, Stage};

/// Service time while a home is killed, so that the statement is surely in flight.
const SLOW_SERVICE_MICROSECONDS: u64 = 400_000;

/// Time from sending the statement until the home is killed.
const BEFORE_KILL: Duration = Duration::from_millis(200);

/// Time that writes have to land again after a failure.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// Time that a planned stop may take.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Callers during a planned stop.
const STOP_CALLERS: usize = 6;

const ADD_ONE: &str = "UPDATE results SET value = value + $2 WHERE key = $1";
const INSERT: &str = "INSERT INTO results (key, value) VALUES ($1, $2)";

/// A write that must not be repeated is in flight while the home of its database is killed.
pub async fn kill_home(stage: &mut Stage) -> eyre::Result<String> {
    let group = stage.second_group();
    let primary = group.primary().await?;
    let mut caller = stage.caller(SECOND_TENANT, 0);
    caller.execute(INSERT, &[&"season", &"0"]).await.done()?;
    let homes = stage.admin.homes_of(&primary.name).await;
    let home = *homes
        .first()
        .ok_or_eyre("no proxy is home to the primary")?;
    let edge = (home + 1) % stage.topology.proxies.len();
    caller.roam(edge);
    caller.session().await?;
    let service_time = stage.topology.site.database.service_time_us;
    primary
        .control
        .set_service_time(SLOW_SERVICE_MICROSECONDS)
        .await?;
    let write = caller.execute(ADD_ONE, &[&"season", &"1"]);
    let kill = async {
        sleep(BEFORE_KILL).await;
        stage.topology.proxies[home].kill().await
    };
    let (reply, killed) = tokio::join!(write, kill);
    killed?;
    primary.control.set_service_time(service_time).await?;
    let value = settled_value(stage, "season").await?;
    stage.topology.restart_proxy(home).await?;
    judge_single_write(&reply, &value)?;
    Ok(format!(
        "proxy {} was killed, the caller at proxy {} was told {}, the counter is {value}",
        home + 1,
        edge + 1,
        told(&reply)
    ))
}

/// What the counter may be after one write with this reply.
fn judge_single_write<T>(reply: &Reply<T>, value: &str) -> eyre::Result<()> {
    let is_allowed = match reply {
        Reply::Done(_) => value == "1",
        Reply::Unknown => value == "0" || value == "1",
        Reply::NotRun { .. }
        | Reply::NotConnected { .. }
        | Reply::RolledBack
        | Reply::Refused { .. } => value == "0",
    };
    ensure!(
        is_allowed,
        "the caller was told {}, but the counter is {value}",
        told(reply)
    );
    Ok(())
}

fn told<T>(reply: &Reply<T>) -> &'static str {
    match reply {
        Reply::Done(_) => "done",
        Reply::NotRun { .. } => "not run",
        Reply::NotConnected { .. } => "not connected",
        Reply::RolledBack => "rolled back",
        Reply::Unknown => "unknown (08007)",
        Reply::Refused { .. } => "refused",
    }
}

/// The value once all members agree on it.
async fn settled_value(stage: &Stage, key: &str) -> eyre::Result<String> {
    let group = stage.second_group();
    // The statement that was in flight may still hold its slot.
    sleep(Duration::from_micros(2 * SLOW_SERVICE_MICROSECONDS)).await;
    group.caught_up().await?;
    let rows = group.table("results").await?;
    let row = rows.into_iter().find(|row| row.key == key);
    row.and_then(|row| row.value)
        .ok_or_eyre("the counter is gone")
}

/// The primary is killed; writes land again after the election, and none that was acknowledged
/// is lost.
pub async fn kill_primary(stage: &mut Stage) -> eyre::Result<String> {
    let group = stage.second_group();
    let mut caller = stage.caller(SECOND_TENANT, 1);
    caller.execute(INSERT, &[&"before", &"1"]).await.done()?;
    let primary = group.primary().await?;
    let number = stage.topology.database_number(&primary.name)?;
    stage.topology.databases[number].kill().await?;
    let killed = Instant::now();
    let attempts = write_until_done(&mut caller).await?;
    let gap = killed.elapsed();
    let rows = group.table("results").await?;
    let has = |key: &str| rows.iter().any(|row| row.key == key);
    ensure!(has("before"), "an acknowledged write is lost");
    ensure!(has(&format!("after-{attempts}")), "the new write is lost");
    stage.topology.restart_database(number).await?;
    Ok(format!(
        "{} was killed, a write landed {} ms later after {attempts} attempts, nothing lost",
        primary.name,
        gap.as_millis()
    ))
}

async fn write_until_done(caller: &mut Caller) -> eyre::Result<u32> {
    let started = Instant::now();
    let mut attempts = 0;
    while started.elapsed() < RECOVERY_LIMIT {
        attempts += 1;
        let key = format!("after-{attempts}");
        let reply = caller.execute(INSERT, &[&key, &"1"]).await;
        if let Reply::Done(_) = reply {
            return Ok(attempts);
        }
        sleep(Duration::from_millis(20)).await;
    }
    eyre::bail!("no write landed within {RECOVERY_LIMIT:?}")
}

/// A proxy is stopped as planned while callers send requests through it.
pub async fn stop_proxy(stage: &mut Stage) -> eyre::Result<String> {
    let recorder = Arc::new(Recorder::default());
    let stop = CancellationToken::new();
    let callers = start_callers(stage, &recorder, &stop);
    sleep(Duration::from_millis(300)).await;
    let proxy = stage.topology.proxies.len() - 1;
    stage.topology.proxies[proxy].signal(Signal::Terminate)?;
    let status = stage.topology.proxies[proxy].wait(STOP_LIMIT).await;
    sleep(Duration::from_millis(300)).await;
    stop.cancel();
    for caller in callers {
        caller.await?;
    }
    let status = status?;
    stage.topology.restart_proxy(proxy).await?;
    let samples = recorder.samples();
    let unknown = samples
        .iter()
        .filter(|sample| sample.outcome == SampleOutcome::Unknown)
        .count();
    ensure!(status.success(), "the proxy ended with {status}");
    ensure!(
        unknown == 0,
        "{unknown} of {} requests were cut off",
        samples.len()
    );
    Ok(format!(
        "proxy {} ended with {status}, none of {} requests cut off",
        proxy + 1,
        samples.len()
    ))
}

fn start_callers(
    stage: &Stage,
    recorder: &Arc<Recorder>,
    stop: &CancellationToken,
) -> Vec<tokio::task::JoinHandle<()>> {
    let mix = Mix {
        writes: 0.3,
        own_lookups: 0.5,
        roams: 0.05,
        pause: Duration::from_millis(5),
    };
    let start = |number| {
        let settings = stage.topology.callers(SECOND_TENANT, RECOVERY_LIMIT);
        let recorder = Arc::clone(recorder);
        let caller = WorkloadCaller::new(number, Workload::Orders, mix, settings, recorder, 1);
        tokio::spawn(caller.run(stop.clone()))
    };
    (0..STOP_CALLERS).map(start).collect()
}

/// The key-value service is down; statements go on.
pub async fn platform_outage(stage: &mut Stage) -> eyre::Result<String> {
    let control = stage.topology.platform_control()?;
    let outage = FaultPlan {
        outage: Outage::Refuse,
        ..FaultPlan::default()
    };
    control.set_faults(&outage).await?;
    let mut caller = stage.caller(SECOND_TENANT, 0);
    let written = caller.execute(INSERT, &[&"during-outage", &"1"]).await;
    caller.roam(1);
    let read = caller
        .texts("SELECT value FROM results WHERE key = 'during-outage'")
        .await;
    control.set_faults(&FaultPlan::default()).await?;
    written.done()?;
    let read = read.done()?;
    ensure!(read == ["1"], "read {read:?} instead of the own write");
    let answers = || async { control.status().await.ok() };
    poll_until("platform", RECOVERY_LIMIT, answers).await?;
    Ok(String::from(
        "a write and a read of it through another proxy while the service was down",
    ))
}
