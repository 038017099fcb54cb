//! Statements a second, and a second of processor time of the proxies.

use std::time::{Duration, Instant};

use eyre::OptionExt;
use tokio::task::JoinSet;

use crate::testbed::Topology;

use super::result::Figure;
use super::target::{Reader, Target, TargetKind};

/// Clock ticks of processor time in a second.
const TICKS_PER_SECOND: f64 = 100.0;

/// Offers load to one target after the other.
pub(super) async fn measure(
    topology: &Topology,
    targets: &[Target],
    clients: usize,
    duration: Duration,
) -> eyre::Result<Vec<Figure>> {
    let mut figures = Vec::new();
    for target in targets {
        let mut readers = Vec::new();
        for _ in 0..clients {
            readers.push(target.connect().await?);
        }
        let before = proxy_seconds(topology)?;
        let started = Instant::now();
        let reads = read_all(readers, duration).await?;
        let elapsed = started.elapsed().as_secs_f64();
        let spent = proxy_seconds(topology)? - before;
        let variant = target.kind.name();
        let rate = vec![reads as f64 / elapsed];
        let name = format!("reads a second, {clients} clients");
        figures.push(Figure::of(variant, &name, "1/s", None, rate));
        if target.kind != TargetKind::Direct {
            let rate = vec![reads as f64 / spent];
            let name = "reads a second of proxy processor time";
            figures.push(Figure::of(variant, name, "1/s", None, rate));
        }
    }
    Ok(figures)
}

async fn read_all(readers: Vec<Reader>, duration: Duration) -> eyre::Result<u64> {
    let mut tasks = JoinSet::new();
    let end = Instant::now() + duration;
    for reader in readers {
        tasks.spawn(read_until(reader, end));
    }
    let mut reads = 0;
    while let Some(task) = tasks.join_next().await {
        reads += task??;
    }
    Ok(reads)
}

async fn read_until(mut reader: Reader, end: Instant) -> eyre::Result<u64> {
    let mut reads = 0;
    while Instant::now() < end {
        reader.read().await?;
        reads += 1;
    }
    Ok(reads)
}

/// Processor time of all proxies so far, in seconds.
fn proxy_seconds(topology: &Topology) -> eyre::Result<f64> {
    let ticks = topology.proxies.iter().map(|proxy| proxy.processor_ticks());
    let ticks: Option<u64> = ticks.sum();
    let ticks = ticks.ok_or_eyre("the system does not tell processor times")?;
    Ok(ticks as f64 / TICKS_PER_SECOND)
}
