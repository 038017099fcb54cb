//! Carries out the scripts of fault cases.

use std::time::Duration;

use dyketally::history::Event;
use dyketally::identifiers::DatabaseName;
use dyketally_proxy::stores::memory::{FaultPlan, Outage};
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::database;
use crate::network::{CutRequest, Passage, Place};
use crate::testbed::{CommandResult, Member, Signal};

use super::case::{Action, Direction, Target};
use super::leaving::{announce, no_machines};
use super::observe::{Observers, Restarts};
use super::operators;
use super::planned_stop::cut_off_by;
use super::stage::Stage;
use super::victim::Victim;

/// Time that a planned stop may take; longer than the proxies' drain deadline.
const STOP_LIMIT: Duration = Duration::from_secs(20);

/// Strikes the processes of a site, and remembers what must end again.
#[derive(Debug)]
pub(super) struct Injector {
    /// The running site.
    pub stage: Stage,
    /// How often each proxy was started again.
    pub restarts: Restarts,
    /// What was struck, in order.
    pub struck: Vec<String>,
    observers: Observers,
    platform: FaultPlan,
    gone: Vec<Victim>,
    frozen: Vec<Victim>,
    publication: Option<JoinHandle<eyre::Result<CommandResult>>>,
}

impl Injector {
    /// An injector that strikes nothing yet.
    pub fn new(stage: Stage) -> Self {
        let proxies = stage.topology.proxies.len();
        let restarts = Restarts::new(proxies);
        let mut observers = Observers::default();
        observers.watch_configurations(&stage.admin, &restarts, &stage.recorder, proxies);
        Self {
            stage,
            restarts,
            struck: Vec::new(),
            observers,
            platform: FaultPlan::default(),
            gone: Vec::new(),
            frozen: Vec::new(),
            publication: None,
        }
    }

    /// Carries out a script.
    ///
    /// # Errors
    /// When an action fails; the actions behind it are left out.
    pub async fn run(&mut self, script: &[Action]) -> eyre::Result<()> {
        for action in script {
            self.act(*action).await?;
        }
        Ok(())
    }

    async fn act(&mut self, action: Action) -> eyre::Result<()> {
        match action {
            Action::Wait(duration) => sleep(duration).await,
            Action::CaughtUp => self.stage.group.caught_up().await?,
            Action::Kill(target) => self.kill(target).await?,
            Action::Restart => self.restart().await?,
            Action::Freeze(target) => self.freeze(target).await?,
            Action::Thaw => self.thaw()?,
            Action::CutPeers(target, direction) => self.cut_peers(target, direction).await?,
            Action::StayLeading(target) => self.stay_leading(target).await?,
            Action::CutLink { from, to } => self.cut_link(from, to, Passage::Held).await?,
            Action::ResetLink { from, to } => self.cut_link(from, to, Passage::Reset).await?,
            Action::Heal => self.heal().await?,
            Action::Lag(lag) => self.stage.group.set_lag(milliseconds(lag)).await?,
            Action::ServiceTime(time) => self.set_service_time(time).await?,
            Action::ReplyDelay(delay) => self.set_reply_delay(delay).await?,
            Action::KeyValueService(outage) => self.set_outage(outage).await?,
            Action::LoseReplies(count) => self.lose_replies(count).await?,
            Action::LapseLeases => {
                self.stage
                    .topology
                    .platform_control()?
                    .lapse_leases()
                    .await?
            }
            Action::Publish => self.publish().await?,
            Action::BeginPublish => self.publication = Some(operators::begin(&self.stage).await?),
            Action::EndPublish => self.end_publish().await?,
            Action::PublishTogether => self.publish_together().await?,
            Action::Stop(target) => self.stop(target).await?,
            Action::AnnounceLeaving(target) => self.announce_leaving(target).await?,
            Action::Leave(target) => self.leave(target).await?,
        }
        Ok(())
    }

    /// Ends all faults and waits until everything runs again.
    ///
    /// # Errors
    /// When something does not come back.
    pub async fn end_all_faults(&mut self) -> eyre::Result<()> {
        self.thaw()?;
        self.restart().await?;
        self.heal().await?;
        self.platform = FaultPlan::default();
        self.set_platform_faults().await?;
        let platform = self.stage.topology.platform_control()?;
        platform.set_machines(&no_machines()).await?;
        let service_time = self.stage.topology.site.database.service_time_us;
        let lag = self.stage.topology.site.database.replication_lag_ms;
        for member in &self.stage.group.members {
            member.control.set_stay_leading(false).await?;
            member.control.set_service_time(service_time).await?;
            member.control.set_reply_delay(0).await?;
        }
        self.stage.group.set_lag(lag).await?;
        self.stage.ready().await
    }

    async fn kill(&mut self, target: Target) -> eyre::Result<()> {
        let victim = self.find("killed", target).await?;
        self.process(victim).kill().await?;
        self.gone.push(victim);
        Ok(())
    }

    async fn restart(&mut self) -> eyre::Result<()> {
        for victim in std::mem::take(&mut self.gone) {
            match victim {
                Victim::Database(number) => self.stage.topology.restart_database(number).await?,
                Victim::Proxy(number) => {
                    self.restarts.add(number);
                    self.stage.topology.restart_proxy(number).await?;
                }
            }
        }
        Ok(())
    }

    async fn freeze(&mut self, target: Target) -> eyre::Result<()> {
        let victim = self.find("froze", target).await?;
        self.process(victim).signal(Signal::Stop)?;
        self.frozen.push(victim);
        Ok(())
    }

    fn thaw(&mut self) -> eyre::Result<()> {
        for victim in std::mem::take(&mut self.frozen) {
            self.process(victim).signal(Signal::Continue)?;
        }
        Ok(())
    }

    async fn cut_peers(&mut self, target: Target, direction: Direction) -> eyre::Result<()> {
        let member = self.find_member("cut off from its peers", target).await?;
        let others = self.stage.group.members.iter();
        let others = others.filter(|other| other.name != member.name);
        let peers = others.map(|other| DatabaseName::new(other.name.as_str()));
        let request = database::CutRequest {
            peers: peers.collect(),
            inbound: direction != Direction::Outbound,
            outbound: direction != Direction::Inbound,
        };
        Ok(member.control.cut_directions(&request).await?)
    }

    async fn stay_leading(&mut self, target: Target) -> eyre::Result<()> {
        let member = self.find_member("goes on leading", target).await?;
        Ok(member.control.set_stay_leading(true).await?)
    }

    async fn cut_link(&mut self, from: Target, to: Target, passage: Passage) -> eyre::Result<()> {
        let Stage {
            topology, group, ..
        } = &self.stage;
        let from = Victim::find(topology, group, from).await?;
        let from = from.name(topology).to_owned();
        let to = Victim::find(topology, group, to).await?;
        let to = to.name(topology).to_owned();
        self.note(format!("traffic from {from} to {to}: {passage:?}"));
        let request = CutRequest {
            from: Place::Process(from),
            to: Place::Process(to),
            both_ways: false,
            passage,
        };
        let network = self.stage.topology.network_control()?;
        network.cut(&request).await?;
        Ok(())
    }

    async fn heal(&mut self) -> eyre::Result<()> {
        self.stage.topology.network_control()?.heal_all().await?;
        for member in &self.stage.group.members {
            member.control.heal().await?;
        }
        Ok(())
    }

    async fn set_service_time(&self, time: Duration) -> eyre::Result<()> {
        for member in &self.stage.group.members {
            member.control.set_service_time(microseconds(time)).await?;
        }
        Ok(())
    }

    async fn set_reply_delay(&self, delay: Duration) -> eyre::Result<()> {
        for member in &self.stage.group.members {
            member.control.set_reply_delay(microseconds(delay)).await?;
        }
        Ok(())
    }

    async fn set_outage(&mut self, outage: Outage) -> eyre::Result<()> {
        self.note(format!("key-value service: outage {outage:?}"));
        self.platform.outage = outage;
        self.set_platform_faults().await
    }

    async fn lose_replies(&mut self, count: u32) -> eyre::Result<()> {
        self.platform.lost_replies = count;
        self.set_platform_faults().await
    }

    async fn set_platform_faults(&self) -> eyre::Result<()> {
        let control = self.stage.topology.platform_control()?;
        Ok(control.set_faults(&self.platform).await?)
    }

    async fn publish(&mut self) -> eyre::Result<()> {
        let revision = operators::publish(&self.stage).await?;
        self.note(format!("revision {} published", revision.0));
        Ok(())
    }

    async fn end_publish(&mut self) -> eyre::Result<()> {
        if let Some(publication) = self.publication.take() {
            let told = operators::end(&self.stage, publication.await??)?;
            self.note(told);
        }
        Ok(())
    }

    async fn publish_together(&mut self) -> eyre::Result<()> {
        let revision = operators::publish_together(&self.stage).await?;
        self.note(format!("one of two won revision {}", revision.0));
        Ok(())
    }

    async fn stop(&mut self, target: Target) -> eyre::Result<()> {
        let victim = self.find("stopped as planned", target).await?;
        let process = self.process(victim);
        process.signal(Signal::Terminate)?;
        let status = process.wait(STOP_LIMIT).await?;
        self.gone.push(victim);
        let Victim::Proxy(number) = victim else {
            return Ok(());
        };
        let log = self.stage.topology.launcher.logs();
        let cut_off = cut_off_by(log, victim.name(&self.stage.topology), status)?;
        let node = self.restarts.node(number);
        self.stage.recorder.push(Event::Stopped { node, cut_off });
        Ok(())
    }

    async fn announce_leaving(&mut self, target: Target) -> eyre::Result<()> {
        let member = self.find_member("announced as leaving", target).await?;
        let number = self.stage.topology.database_number(&member.name)?;
        let machines = announce(&self.stage.topology, number);
        let platform = self.stage.topology.platform_control()?;
        platform.set_machines(&machines).await?;
        self.observers.watch_leaving(member, &self.stage.recorder);
        Ok(())
    }

    async fn leave(&mut self, target: Target) -> eyre::Result<()> {
        let member = self.find_member("leaves", target).await?;
        member.control.leave().await?;
        self.observers.watch_leaving(member, &self.stage.recorder);
        Ok(())
    }

    async fn find(&mut self, what: &str, target: Target) -> eyre::Result<Victim> {
        let Stage {
            topology, group, ..
        } = &self.stage;
        let victim = Victim::find(topology, group, target).await?;
        let name = victim.name(topology).to_owned();
        self.note(format!("{target:?} {name} {what}").to_lowercase());
        Ok(victim)
    }

    async fn find_member(&mut self, what: &str, target: Target) -> eyre::Result<Member> {
        let victim = self.find(what, target).await?;
        self.stage.group.member(victim.name(&self.stage.topology))
    }

    fn process(&mut self, victim: Victim) -> &mut crate::testbed::ChildProcess {
        match victim {
            Victim::Database(number) => &mut self.stage.topology.databases[number],
            Victim::Proxy(number) => &mut self.stage.topology.proxies[number],
        }
    }

    fn note(&mut self, what: String) {
        let seconds = self.stage.recorder.now().as_secs_f64();
        self.struck.push(format!("{seconds:.1} s {what}"));
    }
}

fn milliseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn microseconds(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
