//! Connections pinned to transactions, cancelled requests, and the end of sessions and links.

use super::*;

impl DatabaseHome {
    /// Assigns the job the connection that its transaction is pinned to; returns false if there is none.
    pub(super) fn take_pinned_wire(&mut self, environment: &mut Environment, id: JobId) -> bool {
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let (session, transaction) = (job.execute.session, job.execute.transaction);
        let pinned = self.wires.iter_mut().find_map(|(wire, known)| {
            let pin = known.pinned.as_mut().filter(|pin| pin.session == session)?;
            Some((*wire, pin))
        });
        let Some((wire, pin)) = pinned else {
            return false;
        };
        if pin.transaction.is_some() && pin.transaction != transaction {
            self.close_wire(environment, wire);
            return false;
        }
        pin.transaction = transaction;
        job.wire = Some(wire);
        if environment.has(Switch::TransactionNotPinned) {
            let other = self.wires.iter().find(|(other, known)| {
                **other != wire && known.opened_at.is_some() && known.expected.is_empty()
            });
            job.wire = other.map(|(other, _)| *other).or(Some(wire));
        }
        true
    }

    pub fn cancel(&mut self, environment: &mut Environment, link: ConnectionId, request: u64) {
        let wanted = self
            .jobs
            .iter()
            .find(|(_, job)| job.link == link && job.execute.request == request);
        let Some((id, job)) = wanted else {
            return;
        };
        let (id, unsafe_to_stop) = (*id, job.sent && job.execute.operation.may_change_data());
        if !unsafe_to_stop {
            self.finish(
                environment,
                id,
                Completion::NotRun(NotRunReason::DeadlinePassed),
            );
        }
    }

    pub fn end_session(&mut self, environment: &mut Environment, session: SessionKey) {
        let pinned = self
            .wires
            .iter()
            .filter(|(_, wire)| wire.pinned.is_some_and(|pin| pin.session == session));
        let pinned: Vec<_> = pinned.map(|(id, _)| *id).collect();
        for wire in pinned {
            self.close_wire(environment, wire);
        }
    }

    /// Handles the loss of an edge's link: rolls back its transactions and cancels its requests.
    pub fn lose_link(&mut self, environment: &mut Environment, link: ConnectionId) {
        let requests = self.jobs.values().filter(|job| job.link == link);
        let requests: Vec<_> = requests.map(|job| job.execute.request).collect();
        for request in requests {
            self.cancel(environment, link, request);
        }
        let pinned = self.wires.iter();
        let pinned = pinned.filter(|(_, wire)| wire.pinned.is_some_and(|pin| pin.link == link));
        let pinned: Vec<_> = pinned.map(|(id, _)| *id).collect();
        for wire in pinned {
            self.close_wire(environment, wire);
        }
    }
}
