//! Sees when a group has elected another primary.

use std::time::{Duration, Instant};

use eyre::OptionExt;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use crate::bench::{Group, Member};

/// Time between two questions to a member.
const QUESTION_PAUSE: Duration = Duration::from_millis(1);

/// Time that the group has to elect.
const ELECTION_LIMIT: Duration = Duration::from_secs(20);

/// Asks the members of a group whether they lead, until one other than the old primary does.
#[derive(Debug)]
pub(super) struct ElectionWatch {
    elected: mpsc::Receiver<Instant>,
    _questions: JoinSet<()>,
}

impl ElectionWatch {
    /// Starts asking all members but the present primary.
    pub(super) async fn start(group: &Group, primary: &str) -> eyre::Result<Self> {
        let present = group.member(primary)?.control.state().await?;
        let (sender, elected) = mpsc::channel(group.members.len());
        let mut questions = JoinSet::new();
        for member in &group.members {
            if member.name != primary {
                questions.spawn(ask(member.clone(), present.term, sender.clone()));
            }
        }
        Ok(Self {
            elected,
            _questions: questions,
        })
    }

    /// When a member first said that it leads in a later term.
    pub(super) async fn elected(mut self) -> eyre::Result<Instant> {
        let elected = timeout(ELECTION_LIMIT, self.elected.recv()).await;
        let elected = elected.ok().flatten();
        elected.ok_or_eyre("the group elected nobody in time; see the logs of its members")
    }
}

async fn ask(member: Member, term: u64, elected: mpsc::Sender<Instant>) {
    loop {
        if let Ok(state) = member.control.state().await
            && state.is_primary()
            && state.term > term
        {
            // Only the first answer counts.
            let _ = elected.send(Instant::now()).await;
            return;
        }
        sleep(QUESTION_PAUSE).await;
    }
}
