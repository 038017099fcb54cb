//! Steps of sessions: own writes, transactions, refusals.

use std::time::Duration;

use dyketally::session::SessionToken;
use eyre::{OptionExt, ensure};
use tokio::time::sleep;

use crate::testbed::{AdminClient, Caller, DATABASE, Reply, SessionClient};

use super::stage::{FIRST_TENANT, Stage, TERM_TENANT};

/// Replication lag while replicas are behind; longer than any statement of the step takes.
const LAG_MILLISECONDS: u64 = 5_000;

/// The value that is written while replicas are behind.
const CHANGED: &str = "three crates";

/// The homes' counter of reads that replicas served.
const REPLICA_READS: &str = "dyketally_home_replica_reads_total";

/// Reads until a replica serves one.
const READS_AT_MOST: u32 = 50;

/// Time between two of them.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// What one read gave, and which kind of database served it.
struct Observed {
    value: Option<String>,
    from_replica: bool,
}

/// Reads the first order; the homes' counters tell whether a replica served it.
async fn read_order(admin: &AdminClient, caller: &mut Caller) -> eyre::Result<Observed> {
    let before = admin.sum(REPLICA_READS).await;
    let value = value_of(caller, "order-1").await?;
    let after = admin.sum(REPLICA_READS).await;
    Ok(Observed {
        value,
        from_replica: after > before,
    })
}

/// The session writes through the first proxy.
pub async fn write_through_first_proxy(stage: &mut Stage) -> eyre::Result<String> {
    let statement = "INSERT INTO orders (key, value) VALUES ($1, $2)";
    let value = "two crates";
    let rows = stage
        .session
        .execute(statement, &[&"order-1", &value])
        .await
        .done()?;
    ensure!(rows == 1, "{rows} rows were written instead of 1");
    stage.written = Some(value.to_owned());
    let token = token(&stage.session)?;
    Ok(format!("1 row through proxy 1, session token {token}"))
}

/// The session roams to another proxy and reads its own write from a replica.
///
/// A home that has just started may send the first reads on to the primary.
pub async fn read_from_replica(stage: &mut Stage) -> eyre::Result<String> {
    stage.first_group().caught_up().await?;
    let proxy = proxy_beside_replica(stage).await?;
    stage.session.roam(proxy);
    for reads in 1..=READS_AT_MOST {
        let observed = read_order(&stage.admin, &mut stage.session).await?;
        ensure!(
            observed.value == stage.written,
            "read {:?} instead of {:?}",
            observed.value,
            stage.written
        );
        if observed.from_replica {
            let value = observed.value.unwrap_or_default();
            return Ok(format!(
                "{value:?} read through proxy {}, from a replica at read {reads}",
                proxy + 1
            ));
        }
        sleep(READ_PAUSE).await;
    }
    eyre::bail!("the primary served {READS_AT_MOST} reads though replicas had caught up")
}

/// The number of a proxy, not the first, whose zone holds a replica of the first group.
async fn proxy_beside_replica(stage: &Stage) -> eyre::Result<usize> {
    let group = stage.first_group();
    let primary = group.primary().await?;
    let members = group.members.iter().map(|member| &member.name);
    let replica = (0..).zip(members).skip(1);
    let mut replica = replica.filter(|(_, name)| **name != primary.name);
    let (number, _) = replica.next().ok_or_eyre("the group has no replicas")?;
    Ok(number)
}

/// While replicas lag, a session reads its own write from the primary.
///
/// Its tenant has writes confirmed by the majority's term alone: a majority can't hold the
/// position of a write while both replicas are behind.
pub async fn read_while_lagging(stage: &mut Stage) -> eyre::Result<String> {
    let group = stage.first_group();
    let mut caller = stage.caller(TERM_TENANT, 1);
    group.set_lag(LAG_MILLISECONDS).await?;
    let read = write_roam_and_read(&stage.admin, &mut caller).await;
    group.set_lag(0).await?;
    let observed = read?;
    let value = observed.value.unwrap_or_default();
    ensure!(value == CHANGED, "read {value:?} instead of {CHANGED:?}");
    ensure!(
        !observed.from_replica,
        "a replica that is behind served the read"
    );
    stage.written = Some(CHANGED.to_owned());
    Ok(format!(
        "replicas {LAG_MILLISECONDS} ms behind, {value:?} read from the primary through proxy 3"
    ))
}

async fn write_roam_and_read(admin: &AdminClient, caller: &mut Caller) -> eyre::Result<Observed> {
    let statement = "UPDATE orders SET value = $2 WHERE key = $1";
    let rows = caller.execute(statement, &[&"order-1", &CHANGED]).await;
    let rows = rows.done()?;
    ensure!(rows == 1, "{rows} rows were changed instead of 1");
    caller.roam(2);
    read_order(admin, caller).await
}

/// One transaction commits, another is rolled back.
pub async fn commit_and_roll_back(stage: &mut Stage) -> eyre::Result<String> {
    stage.first_group().caught_up().await?;
    let session = &mut stage.session;
    let insert = "INSERT INTO orders (key, value) VALUES ($1, $2)";
    session.run("BEGIN").await.done()?;
    session
        .execute(insert, &[&"order-2", &"kept"])
        .await
        .done()?;
    session.run("COMMIT").await.done()?;
    session.run("BEGIN").await.done()?;
    session
        .execute(insert, &[&"order-3", &"dropped"])
        .await
        .done()?;
    session.run("ROLLBACK").await.done()?;
    let kept = value_of(session, "order-2").await?;
    let dropped = value_of(session, "order-3").await?;
    ensure!(
        kept.as_deref() == Some("kept"),
        "the committed row is {kept:?}"
    );
    ensure!(
        dropped.is_none(),
        "the row that was rolled back is {dropped:?}"
    );
    Ok(String::from("the committed row is there, the other is not"))
}

/// A second order under the same key is refused by the database, in the database's own words.
pub async fn refuse_duplicate(stage: &mut Stage) -> eyre::Result<String> {
    let statement = "INSERT INTO orders (key, value) VALUES ($1, $2)";
    let reply = stage
        .session
        .execute(statement, &[&"order-2", &"again"])
        .await;
    ensure!(reply.is_duplicate(), "instead of a refusal: {reply:?}");
    let value = value_of(&mut stage.session, "order-2").await?;
    ensure!(value.as_deref() == Some("kept"), "the row became {value:?}");
    Ok(String::from("23505 came through, the first row stayed"))
}

/// Unknown tenants, malformed tokens and unclassified statements are refused with the remedy.
pub async fn refuse_strangers(stage: &mut Stage) -> eyre::Result<String> {
    let address = stage.topology.plan.proxies[0].listen;
    let stranger = SessionClient::connect(address, "nobody", DATABASE, None).await;
    let refusal = stranger.err().ok_or_eyre("an unknown tenant was let in")?;
    let session = SessionClient::connect(address, FIRST_TENANT, DATABASE, Some("nonsense")).await;
    ensure!(session.is_err(), "a malformed token was taken");
    let session = SessionClient::connect(address, FIRST_TENANT, DATABASE, None).await?;
    let unclassified = session.run("VACUUM").await;
    ensure!(
        matches!(unclassified, Reply::Refused { .. }),
        "instead of a refusal: {unclassified:?}"
    );
    Ok(format!(
        "unknown tenant ({refusal}), malformed token, unclassified statement"
    ))
}

async fn value_of(caller: &mut Caller, key: &str) -> eyre::Result<Option<String>> {
    let statement = "SELECT value FROM orders WHERE key = $1";
    let rows = caller.query(statement, &[&key]).await.done()?;
    Ok(rows.first().map(|row| row.get(0)))
}

fn token(caller: &Caller) -> eyre::Result<SessionToken> {
    let token = caller
        .token()
        .ok_or_eyre("the reply held no session token")?;
    Ok(token.parse()?)
}
