//! The incarnation of this process and its lease in the table.
//!
//! The state machines live in crate `member`; this module executes their steps against the
//! platform, one at a time.

use crate::process::{
    control::Control,
    metric, //
};
use actix::{
    ActorContext,
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use base::Now;
use bytestring::ByteString;
use member::{
    lease_key,
    Guards,
    Identity,
    JoinProgress,
    Joining,
    LeaseEvent,
    LeaseHolder,
    LeaseRow,
    LeaseStep,
    LeaseTerms,
    VersionedLease, //
};
use plat::{
    Check,
    Commit,
    HttpPlatform,
    Outcome,
    ReadError,
    Row,
    Table,
    Txn,
    Write, //
};
use std::{
    rc::Rc,
    time::Duration, //
};

/// Assumed maximum clock drift, in percent.
const DRIFT_PCT: u32 = 1;
/// Delay before a join is retried.
const JOIN_RETRY: Duration = Duration::from_millis(500);

/// Average interval between renewals of different daemons: 125 writes a second in total.
const RENEWAL_SPACING: Duration = Duration::from_millis(8);

/// State of the lease of this process.
pub(super) enum Lease {
    /// Not acquired yet.
    Joining(Option<Box<Joining>>),
    /// Acquired; it may have expired since.
    Held(Box<Held>),
}

/// An acquired lease.
pub(super) struct Held {
    pub(super) holder: LeaseHolder,
    /// Sequence number and send time of the renewal in progress.
    pending_renewal: Option<(u64, Now)>,
}

impl Control {
    pub(super) fn identity(&self) -> Identity {
        let settings = &self.shared.settings;
        let text = |addr: std::net::SocketAddr| ByteString::from(addr.to_string());
        Identity {
            instance: settings.instance.clone(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            callers_addr: text(settings.callers_addr),
            peers_addr: text(settings.peers_addr),
            operator_addr: text(settings.operator_addr),
        }
    }

    pub(super) fn lease_terms(&self) -> LeaseTerms {
        let terms = &self.shared.settings.terms;
        LeaseTerms {
            ttl: terms.lease,
            renew_every: terms.lease_renew,
            drift_pct: DRIFT_PCT,
        }
    }

    /// Starts to claim the next incarnation and retries until it succeeds.
    pub(super) fn join(&mut self, ctx: &mut Context<Self>) {
        let joining = Joining::new(self.identity(), self.lease_terms(), Guards::default());
        let step = joining.read();
        self.lease = Lease::Joining(Some(Box::new(joining)));
        self.run_lease_step(step, ctx);
    }

    /// Renews the lease when due.
    pub(super) fn tick_lease(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let Lease::Held(held) = &mut self.lease else {
            return;
        };
        let remaining = held.holder.valid_until().saturating_sub(now);
        self.shared.set_lease_until(held.holder.valid_until());
        metrics::gauge!(metric::LEASE_LEFT).set(remaining.as_secs_f64());
        if self.is_renewal_deferred(now) {
            return;
        }
        let Lease::Held(held) = &mut self.lease else {
            return;
        };
        let step = held.holder.tick(now);
        self.run_lease_step(step, ctx);
    }

    /// Whether the next renewal is deferred because many daemons renew.
    ///
    /// It is never deferred beyond half of the lease, which leaves time to repeat a lost renewal.
    fn is_renewal_deferred(&self, now: Now) -> bool {
        let terms = &self.shared.settings.terms;
        let interval = self.fleet_interval(terms.lease_renew, RENEWAL_SPACING);
        let interval = interval.min(terms.lease / 2);
        let renewed = self.renewal.is_some_and(|(_, at)| now < at + interval);
        renewed && !self.is_stopping()
    }

    fn run_lease_step(&mut self, step: LeaseStep, ctx: &mut Context<Self>) {
        let key = lease_key(&self.shared.settings.instance);
        let platform = Rc::clone(&self.platform);
        match step {
            LeaseStep::Idle => {}
            LeaseStep::Superseded => {
                spdlog::error!("another incarnation holds the lease; this process exits");
                self.superseded = true;
                ctx.stop();
            }
            LeaseStep::Read => {
                let read = async move { read_lease(&platform, key).await };
                ctx.spawn(read.into_actor(self).map(|event, control, ctx| {
                    control.on_lease_event(event, ctx);
                }));
            }
            LeaseStep::Commit { check, value } => {
                self.record_renewal_sent(&value);
                let commit = async move { commit_lease(&platform, key, check, value).await };
                ctx.spawn(commit.into_actor(self).map(|event, control, ctx| {
                    control.on_lease_event(event, ctx);
                }));
            }
        }
    }

    fn record_renewal_sent(&mut self, value: &str) {
        let now = self.now();
        let row = value.parse::<LeaseRow>();
        if let (Lease::Held(held), Ok(row)) = (&mut self.lease, row) {
            held.pending_renewal = Some((row.seq, now));
        }
    }

    fn on_lease_event(&mut self, event: LeaseEvent, ctx: &mut Context<Self>) {
        let failed = matches!(event, LeaseEvent::OutcomeUnknown | LeaseEvent::NotExecuted);
        self.count_platform_call("lease", !failed);
        let now = self.now();
        match &mut self.lease {
            Lease::Joining(joining) => {
                let Some(joining) = joining.take() else {
                    return;
                };
                self.on_joined(joining.on_event(event, now), ctx);
            }
            Lease::Held(held) => {
                let before = held.holder.valid_until();
                let step = held.holder.on_event(event, now);
                let renewed = held.holder.valid_until() > before;
                let confirmed = held.pending_renewal.filter(|_| renewed);
                if let Some((seq, sent_at)) = confirmed {
                    self.on_renewed(seq, sent_at, now);
                }
                self.run_lease_step(step, ctx);
            }
        }
    }

    fn on_joined(&mut self, joined: JoinProgress, ctx: &mut Context<Self>) {
        match joined {
            JoinProgress::Pending(joining, LeaseStep::Idle) => {
                let step = joining.read();
                self.lease = Lease::Joining(Some(Box::new(joining)));
                ctx.run_later(JOIN_RETRY, move |control, ctx| {
                    control.run_lease_step(step, ctx);
                });
            }
            JoinProgress::Pending(joining, step) => {
                self.lease = Lease::Joining(Some(Box::new(joining)));
                self.join_sent_at = self.now();
                self.run_lease_step(step, ctx);
            }
            JoinProgress::Joined(holder) => {
                let incarnation = holder.incarnation();
                self.lease = Lease::Held(Box::new(Held {
                    holder,
                    pending_renewal: None,
                }));
                self.shared.set_incarnation(incarnation);
                spdlog::info!("lease taken", kv: { incarnation });
                self.start(ctx);
                let now = self.now();
                self.on_renewed(FIRST_SEQ, self.join_sent_at, now);
            }
        }
    }
}

/// Sequence number written by a join.
const FIRST_SEQ: u64 = 1;

/// Parses the lease in a table row. A malformed row counts as absent; the next write replaces it.
pub(super) fn parse_lease(row: &Row) -> Option<VersionedLease> {
    Some(VersionedLease {
        version: row.version,
        row: row.value.parse().ok()?,
    })
}

async fn read_lease(platform: &HttpPlatform, key: ByteString) -> LeaseEvent {
    match platform.read(&[key]).await {
        Ok(rows) => {
            let row = rows.into_iter().next().flatten();
            LeaseEvent::Read(row.as_ref().and_then(parse_lease))
        }
        Err(ReadError(_)) => LeaseEvent::OutcomeUnknown,
    }
}

async fn commit_lease(
    platform: &HttpPlatform,
    key: ByteString,
    check: Option<u64>,
    value: ByteString,
) -> LeaseEvent {
    let check = match check {
        Some(version) => Check::Version {
            key: key.clone(),
            version,
        },
        None => Check::Absent { key: key.clone() },
    };
    let txn = Txn {
        checks: vec![check],
        writes: vec![Write::Put { key, value }],
    };
    match platform.commit(txn).await {
        Outcome::Done(Commit::Committed { version }) => LeaseEvent::Committed { version },
        Outcome::Done(Commit::Conflict { rows }) => {
            let row = rows.into_iter().next().flatten();
            LeaseEvent::Conflict(row.as_ref().and_then(parse_lease))
        }
        Outcome::NotDone(_) => LeaseEvent::NotExecuted,
        Outcome::Unknown(_) => LeaseEvent::OutcomeUnknown,
    }
}
