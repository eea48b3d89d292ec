//! Determines which instances have a version in force.
//!
//! Heartbeats carry versions, and within an incarnation the version only grows, so information of
//! any age can confirm. An unconfirmed instance is waited for, unless it is silent and its lease
//! has lapsed: it is then gone, or serves with its floor allotment and can't be distinguished from
//! one that is gone.

use crate::process::control::{
    lease::parse_lease,
    Control, //
};
use actix::{
    ActorFutureExt,
    Handler,
    Message,
    ResponseActFuture,
    WrapFuture, //
};
use base::{
    InstanceId,
    Now,
    Version, //
};
use bytestring::ByteString;
use member::{
    lease_key,
    Freshness,
    Guards,
    InstanceRecord,
    LeaseObserver, //
    LeaseState,
};
use op::{
    Confirmation,
    Unconfirmed, //
};
use plat::{
    ReadError,
    Row,
    Table as _, //
};
use std::rc::Rc;

/// Requests which instances have a version in force.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Confirmation")]
pub(crate) struct GetConfirmation(pub(crate) Version);

impl Handler<GetConfirmation> for Control {
    type Result = ResponseActFuture<Self, Confirmation>;

    fn handle(&mut self, request: GetConfirmation, _ctx: &mut Self::Context) -> Self::Result {
        let GetConfirmation(version) = request;
        let silent = self.silent_unconfirmed(version);
        let read_at = self.now();
        let platform = Rc::clone(&self.platform);
        let keys: Vec<ByteString> = silent.iter().map(|id| lease_key(id)).collect();
        let read = async move {
            if keys.is_empty() {
                return Ok(Vec::new());
            }
            platform.read(&keys).await
        };
        Box::pin(read.into_actor(self).map(move |rows, control, _| {
            let gone = control.lapsed_instances(&silent, rows, read_at);
            control.confirmation(version, &gone)
        }))
    }
}

impl Control {
    fn has_confirmed(facts: &InstanceRecord, version: Version) -> bool {
        facts.version >= version
    }

    fn silent_unconfirmed(&self, version: Version) -> Vec<InstanceId> {
        let now = self.now();
        let unconfirmed = self
            .membership_view
            .instances()
            .filter(|(_, facts)| !Self::has_confirmed(facts, version));
        unconfirmed
            .filter(|(id, _)| self.membership_view.freshness(id, now) == Freshness::Silent)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Silent instances whose lease is absent or known to have lapsed.
    fn lapsed_instances(
        &mut self,
        silent: &[InstanceId],
        rows: Result<Vec<Option<Row>>, ReadError>,
        read_at: Now,
    ) -> Vec<InstanceId> {
        let Ok(rows) = rows else {
            // Without access to the platform nothing is known to have lapsed.
            return Vec::new();
        };
        let now = self.now();
        let terms = self.lease_terms();
        let observer = self.versions.leases.get_or_insert_with(|| {
            LeaseObserver::new(terms, Guards::default()) //
        });
        let mut lapsed = Vec::new();
        for (instance, row) in silent.iter().zip(rows) {
            let lease = row.as_ref().and_then(parse_lease);
            if let Some(lease) = &lease {
                observer.record_read(lease, read_at, now);
            }
            if lease.is_none() || observer.lapse(instance, now).is_some() {
                lapsed.push(instance.clone());
            }
        }
        lapsed
    }

    fn confirmation(&self, version: Version, gone: &[InstanceId]) -> Confirmation {
        let mut answer = Confirmation {
            version,
            confirmed: Vec::new(),
            missing: Vec::new(),
            lapsed: Vec::new(),
        };
        let now = self.now();
        for (instance, facts) in self.membership_view.instances() {
            if Self::has_confirmed(facts, version) {
                answer.confirmed.push(instance.clone());
            } else if facts.state == LeaseState::Left || gone.contains(instance) {
                answer.lapsed.push(instance.clone());
            } else {
                answer.missing.push(Unconfirmed {
                    instance: instance.clone(),
                    version: facts.version,
                    freshness: self.membership_view.freshness(instance, now),
                    age_ms: self.age_ms(facts.as_of),
                });
            }
        }
        self.confirm_self(&mut answer);
        answer
    }

    fn confirm_self(&self, answer: &mut Confirmation) {
        let me = self.shared.settings.instance.clone();
        if self.version() >= answer.version {
            answer.confirmed.push(me);
            answer.confirmed.sort();
        } else {
            answer.missing.push(Unconfirmed {
                instance: me,
                version: self.version(),
                freshness: Freshness::Fresh,
                age_ms: Some(0),
            });
        }
    }

    /// Age of a fact valid as of `as_of`, in milliseconds.
    pub(in crate::process::control) fn age_ms(&self, as_of: Option<Now>) -> Option<u64> {
        let age = self.now().saturating_sub(as_of?);
        Some(u64::try_from(age.as_millis()).unwrap_or(u64::MAX))
    }
}
