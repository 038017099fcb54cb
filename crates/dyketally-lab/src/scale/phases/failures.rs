//! Deaths, replacements, a lost zone and a cut between regions.

use std::time::{Duration, Instant};

use dyketally::membership::Event;
use eyre::OptionExt;

use crate::scale::fleet::Fleet;
use crate::scale::layout::{REGIONS, ZONES, node_name};
use crate::scale::observe::Notice;
use crate::scale::result::Timing;

/// Longest wait for all nodes to notice something.
const PATIENCE: Duration = Duration::from_secs(25);

/// Time between two deaths.
const BETWEEN_DEATHS: Duration = Duration::from_millis(700);

/// Time between two replacements: one each 929 s is the ordinary rate of 93 a day.
const BETWEEN_REPLACEMENTS: Duration = Duration::from_millis(400);

/// How long regions stay parted.
const CUT_TIME: Duration = Duration::from_secs(12);

/// Kills `victims` one after the other.
///
/// # Errors
/// None; the signature is that of all phases.
pub async fn deaths(fleet: &mut Fleet, victims: &[usize]) -> eyre::Result<Vec<Timing>> {
    let mut killed = Vec::new();
    for victim in victims {
        killed.push((*victim, Instant::now()));
        fleet.kill(*victim).await;
        tokio::time::sleep(BETWEEN_DEATHS).await;
    }
    fleet.wait_until(PATIENCE, Fleet::agrees).await;
    let noticed = |fleet: &Fleet| times_of_death(fleet, &killed).missing == 0;
    fleet.wait_until(PATIENCE, noticed).await;
    Ok(vec![times_of_death(fleet, &killed)])
}

/// Replaces `victims` one after the other: each leaves as planned and a new process starts.
///
/// # Errors
/// When the system has no ports left.
pub async fn replacements(fleet: &mut Fleet, victims: &[usize]) -> eyre::Result<Vec<Timing>> {
    let mut started = Vec::new();
    for victim in victims {
        fleet.leave(*victim).await;
        started.push((*victim, Instant::now()));
        fleet.start(*victim).await?;
        tokio::time::sleep(BETWEEN_REPLACEMENTS).await;
    }
    fleet.wait_until(PATIENCE, Fleet::agrees).await;
    let noticed = |fleet: &Fleet| times_of_joining(fleet, &started).missing == 0;
    fleet.wait_until(PATIENCE, noticed).await;
    Ok(vec![times_of_joining(fleet, &started)])
}

/// Kills all nodes of a zone at once, then starts them again.
///
/// # Errors
/// When the system has no ports left.
pub async fn drop_zone(fleet: &mut Fleet, zone: usize) -> eyre::Result<Vec<Timing>> {
    let mut victims = fleet.numbers();
    victims.retain(|number| number % ZONES == zone);
    let at = Instant::now();
    for victim in &victims {
        fleet.kill(*victim).await;
    }
    fleet.wait_until(PATIENCE, Fleet::agrees).await;
    let killed: Vec<_> = victims.iter().map(|victim| (*victim, at)).collect();
    let deaths = times_of_death(fleet, &killed);
    let begun = Instant::now();
    for victim in &victims {
        fleet.start(*victim).await?;
    }
    let agreed = fleet.wait_until(PATIENCE, Fleet::agrees).await;
    let whole = agreed.map(|_| begun.elapsed());
    Ok(vec![
        deaths,
        Timing::of("zone started again until each knows all", &[whole]),
    ])
}

/// Cuts a region off from the others for a while.
///
/// # Errors
/// None; the signature is that of all phases.
pub async fn part_regions(fleet: &mut Fleet, region: usize) -> eyre::Result<Vec<Timing>> {
    let cut = fleet.surroundings.cut.clone();
    let observers = fleet.numbers();
    let cut_at = Instant::now();
    cut.cut_off(region % REGIONS);
    tokio::time::sleep(CUT_TIME).await;
    let is_lost =
        |notice: &Notice| matches!(notice, Notice::Membership(Event::RegionUnreachable(_)));
    let lost = fleet
        .observations()
        .first_times(cut_at, &observers, is_lost);
    let healed_at = Instant::now();
    cut.heal();
    fleet
        .wait_until(PATIENCE, Fleet::agrees)
        .await
        .ok_or_eyre("the regions did not find each other again in time")?;
    let is_back = |notice: &Notice| matches!(notice, Notice::Membership(Event::RegionReachable(_)));
    let back = fleet
        .observations()
        .first_times(healed_at, &observers, is_back);
    Ok(vec![
        Timing::of("cut until the region is held unreachable", &lost),
        Timing::of("heal until a region is reachable again", &back),
        Timing::of("heal until each knows all", &[Some(healed_at.elapsed())]),
    ])
}

fn times_of_death(fleet: &Fleet, killed: &[(usize, Instant)]) -> Timing {
    let observers = fleet.numbers();
    let mut times = Vec::new();
    for (victim, at) in killed {
        let died = Notice::Membership(Event::Died(node_name(*victim)));
        let seen = fleet
            .observations()
            .first_times(*at, &observers, |it| *it == died);
        times.extend(seen);
    }
    Timing::of("death until known", &times)
}

fn times_of_joining(fleet: &Fleet, started: &[(usize, Instant)]) -> Timing {
    let mut observers = fleet.numbers();
    observers.retain(|observer| started.iter().all(|(victim, _)| victim != observer));
    let mut times = Vec::new();
    for (victim, at) in started {
        let joined = Notice::Membership(Event::Joined(node_name(*victim)));
        let seen = fleet
            .observations()
            .first_times(*at, &observers, |it| *it == joined);
        times.extend(seen);
    }
    Timing::of("start of a new process until known", &times)
}
