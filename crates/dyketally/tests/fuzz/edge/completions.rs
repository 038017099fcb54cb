//! Handling of completions and lost links: answers the caller, routes the request again or fails it.

use super::*;

impl Edge {
    pub(super) fn lose_link(&mut self, environment: &mut Environment, link: ConnectionId) {
        let affected: Vec<_> = self
            .callers
            .iter()
            .filter_map(|(client, caller)| {
                let (on, _, member) = caller.request.as_ref()?.awaited?;
                (on == link).then_some((*client, member))
            })
            .collect();
        let pinned: Vec<_> = affected.iter().map(|(_, member)| *member).collect();
        for member in pinned {
            self.suspect(environment, link, member);
        }
        self.links.retain(|_, known| *known != link);
        for (client, _) in affected {
            self.unknown(environment, client);
        }
    }

    pub(super) fn finished(
        &mut self,
        environment: &mut Environment,
        link: ConnectionId,
        number: u64,
        completion: Completion,
    ) {
        let waiting = self.callers.iter().filter_map(|(client, caller)| {
            let (on, waits_for, member) = caller.request.as_ref()?.awaited?;
            (on == link).then_some((waits_for, *client, member))
        });
        let by_order = environment.has(Switch::RepliesMatchedByOrder);
        let found = match by_order {
            true => waiting.min(),
            false => waiting
                .into_iter()
                .find(|(waits_for, _, _)| *waits_for == number),
        };
        let Some((_, client, member)) = found else {
            return;
        };
        if let Some(request) = self.request(client) {
            request.awaited = None;
        }
        match completion {
            Completion::Done {
                seen,
                transaction,
                answer,
            } => {
                self.table.reachable(&group_name(), &member_name(member));
                self.done(environment, client, member, seen, transaction, answer);
            }
            Completion::Redirect { primary, term } => {
                self.redirected(environment, client, primary, term)
            }
            Completion::NotRun(reason) => self.not_run(environment, client, member, reason),
            Completion::RolledBack => self.fail(environment, client),
            Completion::Unknown => self.unknown(environment, client),
        }
    }

    pub(super) fn done(
        &mut self,
        environment: &mut Environment,
        client: usize,
        member: usize,
        seen: Option<dyketally::group::LogPosition>,
        transaction: TransactionStatus,
        answer: Option<LookupAnswer>,
    ) {
        let Some(caller) = self.callers.get_mut(&client) else {
            return;
        };
        caller.session.done(&member_name(member), seen, transaction);
        let Some(request) = &mut caller.request else {
            return;
        };
        request.step += 1;
        let answer = match (&request.call.kind, answer) {
            (CallKind::Lookup { .. }, Some(answer)) => ClientAnswer::Lookup(answer),
            // Happens only with `Switch::RepliesMatchedByOrder`, when the reply belongs to another request.
            (CallKind::Lookup { .. }, None) => ClientAnswer::Lookup(LookupAnswer::Absent),
            (CallKind::Transaction { entries }, _) if request.step < entries.len() + 2 => {
                return self.advance(environment, client);
            }
            _ => ClientAnswer::Write(WriteOutcome::Acknowledged),
        };
        self.answer(environment, client, answer);
    }

    pub(super) fn redirected(
        &mut self,
        environment: &mut Environment,
        client: usize,
        primary: Option<usize>,
        term: Term,
    ) {
        let caller = self.callers.get_mut(&client);
        let Some(request) = caller.and_then(|caller| caller.request.as_mut()) else {
            return;
        };
        if request.step > 0 {
            return self.fail(environment, client);
        }
        let primary = primary.map(member_name);
        self.table
            .redirected(&group_name(), &mut request.attempt, primary, term);
        self.advance(environment, client);
    }

    pub(super) fn not_run(
        &mut self,
        environment: &mut Environment,
        client: usize,
        member: usize,
        reason: NotRunReason,
    ) {
        let now = environment.now(self.place);
        let in_transaction = self.request(client).is_some_and(|request| request.step > 0);
        let elsewhere = matches!(reason, NotRunReason::Unreachable | NotRunReason::Leaving);
        if reason == NotRunReason::Leaving {
            let home = self.home_of(now, member);
            self.leaving[home] = true;
        }
        if in_transaction || !elsewhere {
            return self.fail(environment, client);
        }
        if reason == NotRunReason::Unreachable {
            self.table
                .unreachable(&group_name(), &member_name(member), now);
        }
        self.advance(environment, client);
    }

    /// Handles an attempt of unknown outcome: the statement may have been run.
    pub(super) fn unknown(&mut self, environment: &mut Environment, client: usize) {
        let resends = environment.has(Switch::ResendAfterSend);
        let forgets = environment.has(Switch::EarlierAttemptForgotten);
        let Some(request) = self.request(client) else {
            return;
        };
        request.awaited = None;
        request.may_have_run |= request.changes_data() && !forgets;
        // A recorded write is not repeated here: its home finds out the outcome.
        let repeatable = request.repeat() == Repeat::Repeatable || resends;
        if request.step == 0 && repeatable {
            return self.advance(environment, client);
        }
        request.may_have_run |= request.changes_data();
        self.fail(environment, client);
    }
}
