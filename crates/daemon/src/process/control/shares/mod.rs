//! Capacity shares: runs a member state machine of crate `share` for each pool.
//!
//! A pool is either one service in this region, or the cap from this region to another. At each
//! tick the limits are published to the traffic threads before the requests in flight are read. In
//! the opposite order a request could start under the old limits without being counted.

mod message;
mod rows;
mod tokens;

pub(super) use self::{
    message::SentHeartbeat,
    tokens::Tokens, //
};

use self::{
    message::{
        to_share,
        ShareMessage, //
    },
    rows::{
        commit_row,
        read_row,
        row_key,
        RowResult, //
    },
};
use crate::process::{
    control::{
        lease::parse_lease,
        Control, //
    },
    stop::Stage,
};
use actix::{
    ActorFutureExt,
    AsyncContext,
    Context,
    WrapFuture, //
};
use base::{
    Epoch,
    Incarnation,
    InstanceId,
    Now, //
};
use bytestring::ByteString;
use member::lease_key;
use peer::{
    Frame,
    Share, //
};
use plat::Table;
use share::{
    Action,
    Member,
    MemberId,
    PoolId,
    Row, //
};
use spec::{
    Class,
    Config, //
};
use std::{
    future::Future,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

/// Minimum interval between two rows of a pool that differ only by demand; bursts last a few
/// seconds.
const REBALANCE_INTERVAL: Duration = Duration::from_secs(3);
/// Interval between reads of a pool's row while no peer reports a newer one.
const ROW_READ_INTERVAL: Duration = Duration::from_secs(5);
/// Delay between reads of a row of which a peer reported a newer epoch.
const ROW_RETRY: Duration = Duration::from_millis(200);
/// Steps of the grace period for work in flight after its lease expired; the shortest sufficient
/// step is used.
const GRACE_STEPS: [Duration; 4] = [
    Duration::from_secs(5),
    Duration::from_secs(30),
    Duration::from_secs(120),
    Duration::from_secs(600),
];
/// Maximum wait of a new entry for its share before it serves.
const JOIN_TIMEOUT: Duration = Duration::from_secs(15);

/// Membership of this instance in one pool.
pub(super) struct PoolMembership {
    pub(super) member: Member,
    pub(super) tokens: Tokens,
    /// Epoch and version of the row in the table; precondition of the next proposal.
    row_version: Option<(Epoch, u64)>,
    /// A read or a proposal is in progress.
    is_call_pending: bool,
    read_at: Option<Now>,
    /// Highest epoch reported by a peer.
    peer_epoch: Epoch,
}

impl Control {
    /// Joins the pools given by the configuration and the list, once each.
    pub(super) fn join_pools(&mut self) {
        // The terms of a pool depend on the classes, so a configuration is required.
        let Some((_, config)) = self.config.clone() else {
            return;
        };
        if self.shared.incarnation() == 0 {
            return;
        }
        let region = self.shared.settings.region.clone();
        let slots = self.pools.iter().map(|(service, pool)| {
            let id = share::slots_pool(service, &region);
            (id, Tokens::Slots(Arc::clone(pool)))
        });
        let caps = self.links.iter().map(|(to, link)| {
            let id = share::cap_pool(&region, to);
            (id, Tokens::Cap(Arc::clone(link)))
        });
        let wanted: Vec<(PoolId, Tokens)> = slots.chain(caps).collect();
        for (id, tokens) in wanted {
            if !self.shares.contains_key(&id) {
                let joined = self.new_membership(id.clone(), tokens, &config);
                self.shares.insert(id, joined);
            }
        }
    }

    fn new_membership(&self, id: PoolId, tokens: Tokens, config: &Config) -> PoolMembership {
        let me = MemberId {
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation(),
        };
        PoolMembership {
            member: Member::new(me, id, self.share_terms(&tokens, config)),
            tokens,
            row_version: None,
            is_call_pending: false,
            read_at: None,
            peer_epoch: 0,
        }
    }

    /// Terms of a pool, identical for all its members.
    ///
    /// Requests in flight when a lease lapses may continue until their deadline: a frozen entry
    /// holds its connections, and its upstreams keep the slots occupied. Reassigning those slots
    /// earlier would make an upstream queue requests. The grace period therefore covers the longest
    /// deadline of the pool's classes, which callers can't exceed. It is rounded up to a step, so
    /// that a small change of a target does not give the members different terms.
    fn share_terms(&self, tokens: &Tokens, config: &Config) -> share::Terms {
        let terms = &self.shared.settings.terms;
        let uses_pool = |class: &&Class| match tokens {
            Tokens::Slots(pool) => class.service == pool.service,
            Tokens::Cap(_) => true,
        };
        let longest = config
            .classes
            .iter()
            .filter(uses_pool)
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default();
        let grace = GRACE_STEPS.into_iter().find(|step| longest <= *step);
        share::Terms {
            short_ttl: terms.lease,
            long_ttl: terms.lease_floor,
            rebalance_every: REBALANCE_INTERVAL,
            grace: grace.unwrap_or(longest),
            ..share::Terms::default()
        }
    }

    /// Passes a confirmed renewal to every member.
    pub(super) fn on_renewed(&mut self, seq: u64, sent_at: Now, now: Now) {
        self.renewal = Some((seq, sent_at));
        for membership in self.shares.values_mut() {
            membership.member.set_lease(seq, sent_at, now);
        }
    }

    /// Advances all pools.
    pub(super) fn tick_shares(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let leaving = self.stage == Stage::Refusing;
        let renewal = self.renewal;
        let mut actions = Vec::new();
        for (id, membership) in &mut self.shares {
            if let Some((seq, sent_at)) = renewal {
                membership.member.set_lease(seq, sent_at, now);
            }
            if leaving {
                membership.member.leave();
            }
            let (capacity, demand) = membership.tokens.capacity_and_demand();
            membership.member.set_capacity(capacity);
            membership.member.set_demand(demand);
            membership.tokens.publish(&membership.member.limits());
            membership
                .member
                .set_in_flight(membership.tokens.in_flight());
            let asked = membership.member.tick(now);
            // A tick may have raised the limits, or lowered them for a transfer.
            membership.tokens.publish(&membership.member.limits());
            actions.extend(asked.into_iter().map(|action| (id.clone(), action)));
        }
        for (id, action) in actions {
            self.run_share_action(&id, action, ctx);
        }
        self.read_rows(ctx);
    }

    fn run_share_action(&mut self, id: &PoolId, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Transfer(transfer) => {
                let to = transfer.to.instance.clone();
                self.send_share(&to, id, &ShareMessage::Give(transfer));
            }
            Action::SendRow { to, row } => {
                self.send_share(&to.instance, id, &ShareMessage::Row(row));
            }
            Action::Propose { expect_epoch, row } => self.propose(id, expect_epoch, row, ctx),
        }
    }

    fn propose(
        &mut self,
        id: &PoolId,
        expect_epoch: Option<Epoch>,
        row: Row,
        ctx: &mut Context<Self>,
    ) {
        let Some(membership) = self.shares.get_mut(id) else {
            return;
        };
        if membership.is_call_pending {
            return;
        }
        let check = match (expect_epoch, membership.row_version) {
            (None, None) => None,
            (Some(epoch), Some((known, version))) if known == epoch => Some(version),
            // The row was received from a peer; its version must be read before it can be replaced.
            _ => {
                membership.read_at = None;
                return;
            }
        };
        membership.is_call_pending = true;
        let platform = Rc::clone(&self.platform);
        let key = row_key(id);
        let commit = async move { commit_row(&platform, key, check, row).await };
        self.spawn_row_call(id.clone(), "share", commit, ctx);
    }

    /// Reads the rows that are due, or of which a peer reported a newer epoch.
    fn read_rows(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let due = |membership: &PoolMembership| {
            let newer = membership.peer_epoch > membership.member.epoch();
            let unread = membership
                .read_at
                .is_none_or(|at| now >= at + ROW_READ_INTERVAL);
            !membership.is_call_pending
                && (unread || newer && membership.read_at.is_none_or(|at| now > at + ROW_RETRY))
        };
        let ids: Vec<PoolId> = self
            .shares
            .iter()
            .filter(|(_, membership)| due(membership))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let membership = self
                .shares
                .get_mut(&id)
                .expect("the id was read from the map");
            membership.is_call_pending = true;
            membership.read_at = Some(now);
            let platform = Rc::clone(&self.platform);
            let key = row_key(&id);
            let read = async move { read_row(&platform, key).await };
            self.spawn_row_call(id, "share", read, ctx);
        }
    }

    fn spawn_row_call(
        &mut self,
        id: PoolId,
        call: &'static str,
        result: impl Future<Output = RowResult> + 'static,
        ctx: &mut Context<Self>,
    ) {
        ctx.spawn(result.into_actor(self).map(move |result, control, _| {
            control.count_platform_call(call, !matches!(result, RowResult::Unknown));
            control.on_row_result(&id, result);
        }));
    }

    fn on_row_result(&mut self, id: &PoolId, result: RowResult) {
        let now = self.now();
        let Some(membership) = self.shares.get_mut(id) else {
            return;
        };
        membership.is_call_pending = false;
        match result {
            RowResult::Row(version, row) => {
                membership.row_version = Some((row.epoch, version));
                membership.member.on_row(&Arc::new(row), now);
            }
            RowResult::Absent => membership.member.on_row_absent(),
            RowResult::Unknown => {}
        }
    }

    /// Handles a message of another member.
    pub(super) fn on_share(&mut self, from: &InstanceId, incarnation: Incarnation, share: &Share) {
        let now = self.now();
        let Some(membership) = self.shares.get_mut(&share.pool) else {
            return;
        };
        let Ok(message) = peer::from_payload::<ShareMessage>(&share.payload) else {
            return;
        };
        let sender = MemberId {
            instance: from.clone(),
            incarnation,
        };
        match message {
            ShareMessage::Beat(beat) if beat.from == sender => {
                membership.peer_epoch = membership.peer_epoch.max(beat.epoch);
                membership.member.on_heartbeat(&beat, now);
            }
            ShareMessage::Give(transfer) if transfer.from == sender => {
                membership.member.on_transfer(&transfer, now)
            }
            ShareMessage::Row(row) => membership.member.on_row(&row, now),
            ShareMessage::Beat(_) | ShareMessage::Give(_) => {}
        }
    }

    fn send_share(&self, to: &InstanceId, pool: &PoolId, message: &ShareMessage) {
        if let (Some(mesh), Some(share)) = (&self.mesh, to_share(pool, message)) {
            mesh.send(to, Frame::Share(share));
        }
    }

    /// Member heartbeats due for `to`.
    pub(super) fn member_heartbeats(&mut self, to: &InstanceId) -> Vec<Share> {
        let now = self.now();
        let sent = self.sent_member_heartbeats.entry(to.clone()).or_default();
        let mut due = Vec::new();
        for (id, membership) in &mut self.shares {
            let beat = membership.member.heartbeat(now);
            let current = SentHeartbeat::of(&beat, now);
            if sent.get(id).is_some_and(|last| !current.is_due_after(last)) {
                continue;
            }
            sent.insert(id.clone(), current);
            due.extend(to_share(id, &ShareMessage::Beat(beat)));
        }
        due
    }

    /// Reads the leases of members without an open session.
    pub(super) fn observe_leases(&mut self, ctx: &mut Context<Self>) {
        let silent = self.silent_members();
        if silent.is_empty() {
            return;
        }
        let platform = Rc::clone(&self.platform);
        let read_at = self.now();
        let keys: Vec<ByteString> = silent.iter().map(|id| lease_key(id)).collect();
        let read = async move { platform.read(&keys).await };
        ctx.spawn(read.into_actor(self).map(move |read, control, _| {
            control.count_platform_call("leases", read.is_ok());
            let now = control.now();
            let rows = read.unwrap_or_default();
            let leases = rows.iter().flatten().filter_map(parse_lease);
            for lease in leases {
                let member = MemberId {
                    instance: lease.row.identity.instance.clone(),
                    incarnation: lease.row.incarnation,
                };
                for membership in control.shares.values_mut() {
                    membership
                        .member
                        .observe_lease(&member, lease.row.seq, read_at, now);
                }
            }
        }));
    }

    /// Instances in this region's rows without an open session.
    fn silent_members(&self) -> Vec<InstanceId> {
        let connected: Vec<InstanceId> = match &self.mesh {
            Some(mesh) => mesh.peers().into_iter().map(|info| info.instance).collect(),
            None => Vec::new(),
        };
        let me = &self.shared.settings.instance;
        let rows = self
            .shares
            .values()
            .filter_map(|membership| membership.member.row());
        let mut silent: Vec<InstanceId> = rows
            .flat_map(|row| row.members.keys())
            .map(|member| member.instance.clone())
            .filter(|instance| instance != me && !connected.contains(instance))
            .collect();
        silent.sort();
        silent.dedup();
        silent
    }

    /// Whether this entry has its share of every slot pool, or has waited for the maximum time.
    ///
    /// A member that died without releasing its share holds it until its lease lapses; the rest of
    /// the region must not wait for that.
    pub(super) fn shares_joined(&self) -> bool {
        let joined = |membership: &PoolMembership| match &membership.tokens {
            Tokens::Slots(pool) => pool.upstreams().is_empty() || membership.member.is_settled(),
            Tokens::Cap(_) => true,
        };
        let listed = self.membership_view.upstreams().next().is_some();
        let all = listed && self.shares.values().all(joined);
        all || self.now() >= self.started_at + JOIN_TIMEOUT
    }

    /// Whether all tokens are released, and no row lists this member any more.
    ///
    /// A member that ends while the row still lists it withholds its floor from the others until
    /// its long-term lease expires.
    pub(super) fn shares_released(&self) -> bool {
        let gone = |member: &Member| {
            let listed = member
                .row()
                .is_some_and(|row| row.members.contains_key(member.id()));
            member.is_released() && !listed
        };
        self.shares
            .values()
            .all(|membership| gone(&membership.member))
    }

    /// Whether a pool counts this incarnation as permanently gone.
    ///
    /// It can rejoin only as the next incarnation, which requires a new process.
    pub(super) fn shares_dead(&self) -> bool {
        let now = self.now();
        let mut members = self.shares.values();
        members.any(|membership| membership.member.is_dead(now))
    }
}
