//! What the home knows of its group: watches all members and confirms writes and reads.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use dyketally::group::{
    ConfirmationResult, Confirmations, FinishedWrite, GroupEvent, GroupView, MemberStatus,
    ProbePacing, RoundNumber, Term,
};
use dyketally::identifiers::DatabaseName;
use dyketally::time::Timestamp;
use rand::Rng;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use super::backend::BackendError;
use super::prober::{Asker, ProbeTarget, Prober};
use super::status_reply::StatusReply;
use crate::clock::now;

/// Time between two questions to each member while something is wrong.
const CLOSE_PACE: Duration = Duration::from_millis(10);
/// Time between two questions while the group has had no primary for long.
const WAITING_PACE: Duration = Duration::from_millis(50);
/// Time between two questions while the group is healthy, before jitter.
const RELAXED_PACE: Duration = Duration::from_millis(500);
/// Least and greatest factor of the jitter.
const PACE_JITTER: std::ops::Range<f64> = 0.8..1.2;
/// How long the group is watched closely after something went wrong.
const CLOSE_WATCH: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct ProberHandle {
    target: ProbeTarget,
    questions: mpsc::UnboundedSender<Asker>,
    lost: bool,
    silent: bool,
    malformed: bool,
}

#[derive(Debug)]
struct MonitorState {
    view: GroupView,
    confirmations: Confirmations<oneshot::Sender<ConfirmationResult>>,
    probers: BTreeMap<DatabaseName, ProberHandle>,
    watched_closely_until: Timestamp,
    /// When the task that keeps the monitor wakes.
    scheduled: Option<Timestamp>,
}

/// The view of one group at the home of one of its databases.
#[derive(Debug)]
pub struct GroupMonitor {
    database: DatabaseName,
    state: Mutex<MonitorState>,
    changes: watch::Sender<u64>,
    pace_changes: watch::Sender<()>,
    rescheduled: Notify,
    stop: CancellationToken,
}

impl GroupMonitor {
    /// A monitor for the home of `database`, without members yet. Its tasks end with `stop`.
    pub fn new(database: DatabaseName, stop: CancellationToken) -> Self {
        let no_members = std::iter::empty::<DatabaseName>;
        let state = MonitorState {
            view: GroupView::new(no_members()),
            confirmations: Confirmations::new(
                database.clone(),
                no_members(),
                ProbePacing::default(),
            ),
            probers: BTreeMap::new(),
            watched_closely_until: now() + CLOSE_WATCH,
            scheduled: None,
        };
        Self {
            database,
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            pace_changes: watch::Sender::new(()),
            rescheduled: Notify::new(),
            stop,
        }
    }

    /// Replaces the members; probers of members that stay as they are go on. Without members the
    /// group isn't watched.
    pub fn set_members(self: &Arc<Self>, targets: Vec<ProbeTarget>) {
        let names: Vec<_> = targets.iter().map(|target| target.member.clone()).collect();
        self.change(|state| {
            state.confirmations.set_members(names.clone());
            let mut kept = std::mem::take(&mut state.probers);
            for target in targets {
                let member = target.member.clone();
                let prober = kept.remove(&member).filter(|held| held.target == target);
                let prober = prober.unwrap_or_else(|| self.start_prober(target));
                state.probers.insert(member, prober);
            }
            state.view.set_members(names)
        });
    }

    /// Reads the view.
    pub fn view<R>(&self, read: impl FnOnce(&GroupView) -> R) -> R {
        read(&self.lock().view)
    }

    /// Tells of each change of the primary or the highest term.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Asks `member` for its status now; true once the answer is in the view.
    pub async fn ask(&self, member: &DatabaseName) -> bool {
        let (sender, answered) = oneshot::channel();
        self.lock().question(member, Asker::Request(sender));
        answered.await.unwrap_or(false)
    }

    /// Asks all members for their status without waiting for it.
    pub fn ask_all(&self) {
        let state = self.lock();
        for member in state.probers.keys() {
            state.question(member, Asker::Pace);
        }
    }

    /// Confirms a write whose reply was read in full.
    pub async fn confirm_write(&self, write: FinishedWrite) -> ConfirmationResult {
        let (sender, verdict) = oneshot::channel();
        self.change(|state| {
            state.confirmations.write_finished(sender, write);
            Vec::new()
        });
        verdict.await.unwrap_or(ConfirmationResult::NotConfirmed)
    }

    /// Begins to confirm that this member leads in `term`, for a read that arrived before.
    pub fn confirm_read(
        &self,
        term: Term,
        deadline: Timestamp,
    ) -> oneshot::Receiver<ConfirmationResult> {
        let (sender, verdict) = oneshot::channel();
        self.change(|state| {
            state.confirmations.read_arrived(sender, term, deadline);
            Vec::new()
        });
        verdict
    }

    /// Takes a status that `member` was asked for at `asked_at`.
    pub fn observe(&self, member: &DatabaseName, status: MemberStatus, asked_at: Timestamp) {
        self.change(|state| state.observe(member, status, asked_at));
    }

    /// Watches the group closely for a while: something went wrong at this home.
    pub fn watch_closely(&self) {
        let until = now() + CLOSE_WATCH;
        let was_close = {
            let mut state = self.lock();
            let was_close = state.watched_closely_until > now();
            state.watched_closely_until = until;
            was_close
        };
        if !was_close {
            self.pace_changes.send_replace(());
        }
    }

    /// Number of writes and reads that wait to be confirmed.
    pub fn unconfirmed(&self) -> usize {
        self.lock().confirmations.waiting()
    }

    pub(super) fn round_answered(
        &self,
        round: RoundNumber,
        member: &DatabaseName,
        status: MemberStatus,
    ) {
        self.change(|state| {
            state.confirmations.record_answer(round, member, status);
            Vec::new()
        });
    }

    pub(super) fn round_failed(&self, round: RoundNumber, member: &DatabaseName) {
        self.change(|state| {
            state.confirmations.record_failure(round, member);
            Vec::new()
        });
    }

    /// The status connection to `member` failed or couldn't be opened.
    pub(super) fn lost(&self, member: &DatabaseName, error: &BackendError) {
        let mut was_lost = false;
        self.change(|state| {
            if let Some(prober) = state.probers.get_mut(member) {
                was_lost = std::mem::replace(&mut prober.lost, true);
            }
            state.view.forget_status(member)
        });
        if !was_lost {
            log::warn!("the status connection to {member} is lost: {error}");
            self.member_silent(member);
        }
    }

    /// True when `member` has left a question unanswered for long, or its connection is lost.
    pub fn is_silent(&self, member: &DatabaseName) -> bool {
        let state = self.lock();
        let prober = state.probers.get(member);
        prober.is_some_and(|prober| prober.silent || prober.lost)
    }

    /// True when the status connection to `member` is lost.
    pub fn is_lost(&self, member: &DatabaseName) -> bool {
        let state = self.lock();
        state.probers.get(member).is_some_and(|prober| prober.lost)
    }

    /// `member` leaves a question unanswered. A replica that does so is no cause for alarm.
    pub(super) fn member_silent(&self, member: &DatabaseName) {
        let primary = {
            let mut state = self.lock();
            if let Some(prober) = state.probers.get_mut(member) {
                prober.silent = true;
            }
            state.view.primary()
        };
        if primary.is_none_or(|(primary, _)| &primary == member) {
            self.watch_closely();
        }
    }

    /// `member` answers something that isn't a status.
    pub(super) fn malformed(&self, member: &DatabaseName, reply: &StatusReply) {
        let first = self.lock().probers.get_mut(member).is_some_and(|prober| {
            let known = std::mem::replace(&mut prober.malformed, true);
            !known
        });
        if !first {
            return;
        }
        log::warn!(
            "{member} answers the status statement with {reply:?}; check `status_statement`: it \
             must yield role, term, log term and offset as one row of four text columns"
        );
    }

    pub(super) fn pace_changes(&self) -> watch::Receiver<()> {
        self.pace_changes.subscribe()
    }

    /// Time until the next question to each member.
    pub(super) fn pace(&self) -> Duration {
        let state = self.lock();
        if state.watched_closely_until > now() {
            CLOSE_PACE
        } else if state.view.primary().is_none() {
            WAITING_PACE
        } else {
            RELAXED_PACE.mul_f64(rand::rng().random_range(PACE_JITTER))
        }
    }

    /// Begins the rounds and gives the verdicts that fall due without other input; never ends.
    pub(super) async fn keep(self: Arc<Self>) {
        loop {
            let wakeup = {
                let mut state = self.lock();
                state.advance();
                state.schedule()
            };
            let rescheduled = self.rescheduled.notified();
            match wakeup {
                Some(at) => {
                    let pause = at.saturating_since(now());
                    // What is due is looked up again either way.
                    let _ = tokio::time::timeout(pause, rescheduled).await;
                }
                None => rescheduled.await,
            }
        }
    }

    fn start_prober(self: &Arc<Self>, target: ProbeTarget) -> ProberHandle {
        let (questions, receiver) = mpsc::unbounded_channel();
        let prober = Prober::new(target.clone(), Arc::clone(self), receiver);
        let stop = self.stop.clone();
        tokio::spawn(stop.run_until_cancelled_owned(prober.run()));
        ProberHandle {
            target,
            questions,
            lost: false,
            silent: false,
            malformed: false,
        }
    }

    fn change(&self, change: impl FnOnce(&mut MonitorState) -> Vec<GroupEvent>) {
        let (events, reschedule) = {
            let mut state = self.lock();
            let events = change(&mut state);
            (events, state.advance())
        };
        if reschedule {
            self.rescheduled.notify_one();
        }
        self.announce(&events);
    }

    fn announce(&self, events: &[GroupEvent]) {
        if events.is_empty() || !self.is_watching() {
            return;
        }
        for event in events {
            match event {
                GroupEvent::PrimaryChanged { primary: None } => {
                    log::warn!("{}: the group has no known primary", self.database);
                    self.watch_closely();
                }
                GroupEvent::PrimaryChanged {
                    primary: Some((primary, Term(term))),
                } => log::info!(
                    "{}: {primary} leads the group in term {term}",
                    self.database
                ),
                GroupEvent::TermRaised { .. } => self.watch_closely(),
            }
        }
        self.changes.send_modify(|version| *version += 1);
    }

    fn is_watching(&self) -> bool {
        !self.lock().probers.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, MonitorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MonitorState {
    fn question(&self, member: &DatabaseName, asker: Asker) {
        if let Some(prober) = self.probers.get(member) {
            // A prober that has ended drops the question, which counts as unanswered.
            let _ = prober.questions.send(asker);
        }
    }

    fn observe(
        &mut self,
        member: &DatabaseName,
        status: MemberStatus,
        asked_at: Timestamp,
    ) -> Vec<GroupEvent> {
        if let Some(prober) = self.probers.get_mut(member) {
            prober.lost = false;
            prober.silent = false;
            prober.malformed = false;
        }
        self.view.observe(now(), member, status, asked_at)
    }

    /// Notes when something falls due without other input.
    fn schedule(&mut self) -> Option<Timestamp> {
        self.scheduled = self.confirmations.next_wakeup(now());
        self.scheduled
    }

    /// Gives verdicts and begins a round; true when something falls due earlier than scheduled.
    fn advance(&mut self) -> bool {
        let now = now();
        for resolved in self.confirmations.take_resolved(now) {
            // A request that has gone needs no verdict.
            let _ = resolved.item.send(resolved.verdict);
        }
        if let Some(round) = self.confirmations.start_round(now) {
            for member in &round.members {
                self.question(member, Asker::Round(round.number));
            }
        }
        let due = self.confirmations.next_wakeup(now);
        due.is_some_and(|due| self.scheduled.is_none_or(|scheduled| due < scheduled))
    }
}
