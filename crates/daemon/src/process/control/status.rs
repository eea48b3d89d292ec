//! State of this daemon as reported to operators.

use crate::process::{
    burn::BUCKET_DURATION,
    control::{
        lease::Lease,
        shares::PoolMembership,
        Control, //
    },
    pool::{
        Pool,
        Upstream, //
    },
};
use actix::{
    Handler,
    Message,
    MessageResult, //
};
use base::{
    DomainId,
    Now,
    RegionId, //
};
use bytestring::ByteString;
use member::{
    Freshness,
    Identity,
    InstanceRecord,
    LeaseState, //
};
use op::{
    Burn,
    ClassBurn,
    DrainStatus,
    Drains,
    InFlight,
    InstanceStatus,
    Instances,
    PoolStatus,
    ResourceStatus,
    ShareStatus,
    Shares,
    SlotUsage,
    Status, //
};
use share::Amounts;
use spec::{
    Class,
    DrainTarget, //
};
use std::{
    collections::BTreeSet,
    sync::Arc,
    time::Duration, //
};

/// Requests the status.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Status")]
pub(crate) struct GetStatus;

/// Requests the known instances.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Instances")]
pub(crate) struct GetInstances;

/// Requests the drains in force and the requests in flight under them.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Drains")]
pub(crate) struct GetDrains;

/// Requests this instance's capacity shares.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Shares")]
pub(crate) struct GetShares;

/// Requests the counts for the burn report.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "Burn")]
pub(crate) struct GetBurn;

impl Handler<GetStatus> for Control {
    type Result = MessageResult<GetStatus>;

    fn handle(&mut self, _: GetStatus, _ctx: &mut Self::Context) -> Self::Result {
        let settings = &self.shared.settings;
        MessageResult(Status {
            instance: settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            stage: format!("{:?}", self.stage).to_lowercase(),
            version: self.version(),
            highest_version: self.highest_version(),
            uptime_ms: millis(self.now()),
            lease_left_ms: millis(self.lease_left()),
            active: self.shared.active.count(),
            peers: self.mesh.as_ref().map_or(0, |mesh| mesh.peers().len()),
            pools: self.pools.values().map(|p| self.pool_status(p)).collect(),
            instances: self.instance_statuses(),
        })
    }
}

impl Handler<GetInstances> for Control {
    type Result = MessageResult<GetInstances>;

    fn handle(&mut self, _: GetInstances, _ctx: &mut Self::Context) -> Self::Result {
        MessageResult(Instances {
            instance: self.shared.settings.instance.clone(),
            instances: self.instance_statuses(),
        })
    }
}

impl Handler<GetDrains> for Control {
    type Result = MessageResult<GetDrains>;

    fn handle(&mut self, _: GetDrains, _ctx: &mut Self::Context) -> Self::Result {
        let config = self.config.as_ref();
        let drains = config.map_or(Vec::new(), |(_, config)| {
            let targets = config.drains.iter().map(|drain| &drain.target);
            targets.map(|target| self.drain_status(target)).collect()
        });
        MessageResult(Drains {
            instance: self.shared.settings.instance.clone(),
            version: self.version(),
            drains,
        })
    }
}

impl Handler<GetShares> for Control {
    type Result = MessageResult<GetShares>;

    fn handle(&mut self, _: GetShares, _ctx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let shares = self.shares.iter();
        MessageResult(Shares {
            instance: self.shared.settings.instance.clone(),
            protected_ms: millis(self.lease_left()),
            pools: shares
                .map(|(id, membership)| share_status(id, membership, now))
                .collect(),
        })
    }
}

impl Handler<GetBurn> for Control {
    type Result = MessageResult<GetBurn>;

    fn handle(&mut self, _: GetBurn, _ctx: &mut Self::Context) -> Self::Result {
        let settings = &self.shared.settings;
        let config = self.config.as_ref();
        let classes = config.map_or(Vec::new(), |(_, config)| {
            let classes = config.classes.iter();
            classes.map(|class| self.class_burn(class)).collect()
        });
        MessageResult(Burn {
            instance: settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
            version: self.version(),
            age_ms: millis(self.shared.burn.age()),
            bucket_ms: millis(BUCKET_DURATION),
            classes,
        })
    }
}

impl Control {
    fn lease_left(&self) -> Duration {
        match &self.lease {
            Lease::Joining(_) => Duration::ZERO,
            Lease::Held(held) => held.holder.valid_until().saturating_sub(self.now()),
        }
    }

    fn pool_status(&self, pool: &Arc<Pool>) -> PoolStatus {
        let (usable, used) = pool.slot_usage(self.now());
        let upstreams = pool.upstreams();
        PoolStatus {
            service: pool.service.clone(),
            upstreams: upstreams.len(),
            open: upstreams
                .iter()
                .filter(|upstream| upstream.accepts_work())
                .count(),
            slots: SlotUsage { usable, used },
            waiting: pool.waiting(),
        }
    }

    /// All instances, including this one, sorted by name.
    fn instance_statuses(&self) -> Vec<InstanceStatus> {
        let others = self.membership_view.instances().map(|(_, facts)| facts);
        let mut all: Vec<InstanceStatus> = others.map(|facts| self.other_status(facts)).collect();
        all.push(self.own_status());
        all.sort_by(|a, b| a.instance.cmp(&b.instance));
        all
    }

    fn other_status(&self, facts: &InstanceRecord) -> InstanceStatus {
        let instance = &facts.identity.instance;
        InstanceStatus {
            incarnation: facts.incarnation,
            version: facts.version,
            state: facts.state,
            freshness: self.membership_view.freshness(instance, self.now()),
            age_ms: self.age_ms(facts.as_of),
            ..with_identity(&facts.identity)
        }
    }

    fn own_status(&self) -> InstanceStatus {
        let state = if self.is_stopping() {
            LeaseState::Leaving
        } else {
            LeaseState::Live
        };
        InstanceStatus {
            incarnation: self.shared.incarnation(),
            version: self.version(),
            state,
            freshness: Freshness::Fresh,
            age_ms: Some(0),
            ..with_identity(&self.identity())
        }
    }

    fn drain_status(&self, target: &DrainTarget) -> DrainStatus {
        let region = &self.shared.settings.region;
        let mut in_flight = Vec::new();
        for pool in self.pools.values() {
            let upstreams = pool.upstreams();
            let drained = upstreams.iter().filter(|upstream| {
                let domain = &upstream.failure_domain;
                matches!(target, DrainTarget::Upstream(id) if *id == upstream.id)
                    || covers(target, region, domain)
            });
            in_flight.extend(drained.filter_map(|upstream| in_flight_at(pool, upstream)));
        }
        let domain = &self.shared.settings.failure_domain;
        let covers_self = covers(target, region, domain);
        DrainStatus {
            target: target.clone(),
            in_flight,
            active: covers_self.then(|| self.shared.active.count()),
        }
    }

    fn class_burn(&self, class: &Class) -> ClassBurn {
        let burn = self.shared.burn.class(&class.id);
        ClassBurn {
            class: class.id.clone(),
            success_target_ppm: class.success_target_ppm,
            latency_target_ms: millis(class.latency_target),
            buckets: burn.buckets(),
            latency_us: burn.latencies_us(),
        }
    }
}

/// Whether the drain target is, or contains, the given failure domain.
fn covers(target: &DrainTarget, region: &RegionId, domain: &DomainId) -> bool {
    match target {
        DrainTarget::Upstream(_) => false,
        DrainTarget::FailureDomain(in_region, id) => in_region == region && id == domain,
        DrainTarget::Region(id) => id == region,
    }
}

fn in_flight_at(pool: &Pool, upstream: &Upstream) -> Option<InFlight> {
    let requests = u32::from(upstream.slots.get().in_flight);
    (requests > 0).then(|| InFlight {
        upstream: upstream.id.clone(),
        service: pool.service.clone(),
        requests,
    })
}

/// Status with only the identity set; the caller fills in the rest.
fn with_identity(identity: &Identity) -> InstanceStatus {
    InstanceStatus {
        instance: identity.instance.clone(),
        region: identity.region.clone(),
        failure_domain: identity.failure_domain.clone(),
        incarnation: 0,
        version: 0,
        state: LeaseState::Live,
        freshness: Freshness::Silent,
        age_ms: None,
        callers_addr: identity.callers_addr.clone(),
        operator_addr: identity.operator_addr.clone(),
    }
}

fn share_status(id: &ByteString, membership: &PoolMembership, now: Now) -> ShareStatus {
    let member = &membership.member;
    let row = member.row();
    let capacity = row.map_or_else(Amounts::new, |row| row.resources.clone());
    let used = membership.tokens.in_flight();
    let known = capacity.keys().chain(member.held().keys());
    let resources: BTreeSet<&ByteString> = known.collect();
    let amount = |amounts: &Amounts, id| amounts.get(id).copied().unwrap_or(0);
    let resources = resources.into_iter().map(|id| ResourceStatus {
        resource: id.clone(),
        capacity: amount(&capacity, id),
        allotted: row.map_or(0, |row| row.allotted(member.id(), id)),
        held: amount(member.held(), id),
        usable: member.usable(id, now),
        used: amount(&used, id),
    });
    let members = row.into_iter().flat_map(|row| row.members.keys());
    ShareStatus {
        pool: id.clone(),
        epoch: member.epoch(),
        settled: member.is_settled(),
        members: members.map(ToString::to_string).collect(),
        resources: resources.collect(),
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
