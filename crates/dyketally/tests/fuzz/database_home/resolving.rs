//! Runs the resolvers of recorded writes whose outcome is unknown.

use super::resolver::{Resolution, Resolver};
use super::*;

impl DatabaseHome {
    /// Starts a resolver for a recorded write of unknown outcome. Returns false if the job isn't a recorded write that
    /// was sent, or if it has a resolver already or is past its deadline.
    pub(super) fn resolve_write(&mut self, environment: &mut Environment, id: JobId) -> bool {
        let now = environment.now(self.place);
        let Some(job) = self.jobs.get_mut(&id) else {
            return false;
        };
        let recorded = job.execute.operation.is_recorded();
        if !recorded || !job.sent || job.resolver.is_some() || job.deadline <= now {
            return false;
        }
        job.resolver = Some(Resolver::default());
        self.close_wire_of(environment, id);
        self.release(environment, id);
        true
    }

    pub(super) fn tick_resolvers(&mut self, environment: &mut Environment) {
        let (place, view) = (self.place, &self.view);
        let mut resolved = Vec::new();
        for (id, job) in &mut self.jobs {
            if let Some(resolver) = &mut job.resolver {
                let resolution = resolver.tick(environment, place, view, job.ledger_key);
                self.new_connections.extend(resolver.take_new_connections());
                resolved.extend(resolution.map(|resolution| (*id, resolution)));
            }
        }
        for (id, resolution) in resolved {
            self.conclude_resolution(environment, id, resolution);
        }
    }

    /// Handles a payload on a resolver's connection; returns false if no resolver opened the connection.
    pub(super) fn handle_resolver(
        &mut self,
        environment: &mut Environment,
        connection: ConnectionId,
        payload: &Payload,
    ) -> bool {
        let now = environment.now(self.place);
        let owner = self.jobs.iter_mut().find_map(|(id, job)| {
            let resolver = job.resolver.as_mut()?;
            resolver.owns(connection).then_some((*id, resolver))
        });
        let Some((id, resolver)) = owner else {
            return false;
        };
        let resolution = resolver.handle(environment, now, connection, payload);
        if let Some(resolution) = resolution {
            self.conclude_resolution(environment, id, resolution);
        }
        true
    }

    fn conclude_resolution(
        &mut self,
        environment: &mut Environment,
        id: JobId,
        resolution: Resolution,
    ) {
        let completion = match resolution {
            Resolution::Committed(seen) => Completion::Done {
                seen: Some(seen),
                transaction: TransactionStatus::Idle,
                answer: None,
            },
            Resolution::Barred => Completion::NotRun(NotRunReason::NoPrimary),
        };
        self.finish(environment, id, completion);
    }
}
