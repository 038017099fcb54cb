//! Measures one phase of a run.

use std::collections::BTreeMap;
use std::sync::PoisonError;
use std::time::{Duration, Instant};

use dyketally::identifiers::NodeName;
use dyketally::membership::Event;
use dyketally_proxy::peers::PeersCounters;

use super::fleet::{Fleet, Registry};
use super::layout::node_name;
use super::result::{Phase, Spread, Timing};
use super::usage::processor_time;

const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// What IP and UDP add to a datagram.
const HEADER_BYTES: u64 = 28;

type Sample = BTreeMap<usize, PeersCounters>;

/// Runs `phase` and measures what the nodes spend meanwhile. `victims` are the nodes that the
/// phase ends on purpose.
///
/// # Errors
/// When the phase fails, or /proc can't be read.
pub async fn measure(
    fleet: &mut Fleet,
    name: &str,
    victims: &[usize],
    phase: impl AsyncFnOnce(&mut Fleet) -> eyre::Result<Vec<Timing>>,
) -> eyre::Result<Phase> {
    fleet.observations().clear();
    let registry = fleet.registry();
    let begun = Instant::now();
    let processor_before = processor_time()?;
    let requests_before = fleet.surroundings.store.requests();
    let first = sample(&registry);
    let mut sampler = Sampler::new(registry.clone());
    let timings = {
        let phase = phase(fleet);
        tokio::select! {
            timings = phase => timings?,
            () = sampler.run() => Vec::new(),
        }
    };
    let seconds = begun.elapsed().as_secs_f64();
    let processor = processor_time()?.saturating_sub(processor_before);
    let last = sample(&registry);
    let requests = fleet.surroundings.store.requests() - requests_before;
    let rates = Rates::between(&first, &last, seconds);
    let victims: Vec<NodeName> = victims.iter().copied().map(node_name).collect();
    let mistaken = |about: fn(&Event) -> Option<NodeName>| {
        let named = fleet.observations().distinct_nodes(begun, about);
        named.iter().filter(|node| !victims.contains(node)).count()
    };
    Ok(Phase {
        name: name.to_owned(),
        seconds,
        bytes_in_per_second: Spread::of(rates.bytes_in),
        bytes_out_per_second: Spread::of(rates.bytes_out),
        datagrams_per_second: Spread::of(rates.datagrams),
        total_bytes_per_second: Spread::of(rates.totals),
        worst_second_bytes: Spread::of(sampler.worst.into_values().collect()),
        core_percent_per_node: processor.as_secs_f64() / seconds / last.len() as f64 * 100.0,
        false_suspicions: mistaken(suspected),
        false_deaths: mistaken(died),
        pauses: rates.pauses,
        service_requests_per_second: requests as f64 / seconds,
        timings,
    })
}

fn suspected(event: &Event) -> Option<NodeName> {
    match event {
        Event::Suspected(node) => Some(node.clone()),
        _ => None,
    }
}

fn died(event: &Event) -> Option<NodeName> {
    match event {
        Event::Died(node) => Some(node.clone()),
        _ => None,
    }
}

fn sample(registry: &Registry) -> Sample {
    let nodes = registry.lock().unwrap_or_else(PoisonError::into_inner);
    let counters = nodes
        .iter()
        .map(|(number, peers)| (*number, peers.counters()));
    counters.collect()
}

/// Nodes in both samples that were not started anew in between.
fn throughout<'a>(
    first: &'a Sample,
    last: &'a Sample,
) -> impl Iterator<Item = (usize, &'a PeersCounters, &'a PeersCounters)> {
    let pairs = first.iter().filter_map(|(number, before)| {
        let after = last.get(number)?;
        Some((*number, before, after))
    });
    pairs.filter(|(_, before, after)| after.bytes_sent >= before.bytes_sent)
}

#[derive(Default)]
struct Rates {
    bytes_in: Vec<f64>,
    bytes_out: Vec<f64>,
    datagrams: Vec<f64>,
    totals: Vec<f64>,
    pauses: u64,
}

impl Rates {
    fn between(first: &Sample, last: &Sample, seconds: f64) -> Self {
        let mut rates = Self::default();
        let rate = |count: u64| count as f64 / seconds;
        for (_, before, after) in throughout(first, last) {
            let received = after.bytes_received.saturating_sub(before.bytes_received);
            let sent = after.bytes_sent - before.bytes_sent;
            rates.bytes_in.push(rate(received));
            rates.bytes_out.push(rate(sent));
            let (earlier, later) = (before.membership, after.membership);
            let datagrams = (later.sent + later.received) - (earlier.sent + earlier.received);
            rates.datagrams.push(rate(datagrams));
            rates
                .totals
                .push(rate(sent + received + HEADER_BYTES * datagrams));
            rates.pauses += later.pauses - earlier.pauses;
        }
        rates
    }
}

/// Looks for the worst second of each node.
struct Sampler {
    registry: Registry,
    worst: BTreeMap<usize, f64>,
}

impl Sampler {
    fn new(registry: Registry) -> Self {
        Self {
            registry,
            worst: BTreeMap::new(),
        }
    }

    async fn run(&mut self) {
        let mut before = sample(&self.registry);
        loop {
            let begun = Instant::now();
            tokio::time::sleep(SAMPLE_INTERVAL).await;
            let now = sample(&self.registry);
            let rates = Rates::between(&before, &now, begun.elapsed().as_secs_f64());
            let numbers = throughout(&before, &now).map(|(number, ..)| number);
            for (number, bytes) in numbers.zip(rates.totals) {
                let worst = self.worst.entry(number).or_default();
                *worst = worst.max(bytes);
            }
            before = now;
        }
    }
}
