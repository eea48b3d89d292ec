//! Capacity shares: runs crate `share`'s member of each pool.
//!
//! A pool is one service in this region, or the cap from this region to another. At each tick the
//! limits go out to the traffic threads first and the requests in flight are read after that: the
//! other way round a request could start under the old limits and not be counted.

mod message;
mod rows;
mod tokens;

pub(super) use self::{
    message::Told,
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
        Found, //
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

/// Least time between two rows of a pool that only follow demand; a burst lasts a few seconds.
const REBALANCE: Duration = Duration::from_secs(3);
/// Time between reads of a pool's row while no peer tells of a newer one.
const ROW_INTERVAL: Duration = Duration::from_secs(5);
/// Wait between reads of a row that a peer told of.
const RETRY: Duration = Duration::from_millis(200);
/// Times that work in flight may outlive its lease, of which the least that suffices is taken.
const GRACE_STEPS: [Duration; 4] = [
    Duration::from_secs(5),
    Duration::from_secs(30),
    Duration::from_secs(120),
    Duration::from_secs(600),
];
/// Longest that a new entry waits for its part before it serves.
const JOIN_LIMIT: Duration = Duration::from_secs(15);

/// One pool that this instance is a member of.
pub(super) struct Shared {
    pub(super) member: Member,
    pub(super) tokens: Tokens,
    /// Version of the row in the table, with its epoch; the check of the next proposal.
    row_version: Option<(Epoch, u64)>,
    /// A read or a proposal is under way.
    busy: bool,
    read_at: Option<Now>,
    /// Highest epoch that a peer told of.
    heard_epoch: Epoch,
}

impl Control {
    /// Joins the pools that the configuration and the list name, once each.
    pub(super) fn join_pools(&mut self) {
        // The terms of a pool depend on the classes, so a configuration comes first.
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
                let joined = self.new_share(id.clone(), tokens, &config);
                self.shares.insert(id, joined);
            }
        }
    }

    fn new_share(&self, id: PoolId, tokens: Tokens, config: &Config) -> Shared {
        let me = MemberId {
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation(),
        };
        Shared {
            member: Member::new(me, id, self.share_terms(&tokens, config)),
            tokens,
            row_version: None,
            busy: false,
            read_at: None,
            heard_epoch: 0,
        }
    }

    /// Terms of a pool, alike at all its members.
    ///
    /// What is in flight when a lease lapses may go on until its deadline: an entry that is frozen
    /// holds its connections, and its upstreams their slots. Whoever took those slots earlier would
    /// have an upstream queue. So the lapse allows for the longest deadline of the pool's classes,
    /// which callers can't exceed. It is rounded up to a step, so that a small change of a target
    /// does not set the members' terms apart.
    fn share_terms(&self, tokens: &Tokens, config: &Config) -> share::Terms {
        let terms = &self.shared.settings.terms;
        let concerns = |class: &&Class| match tokens {
            Tokens::Slots(pool) => class.service == pool.service,
            Tokens::Cap(_) => true,
        };
        let longest = config
            .classes
            .iter()
            .filter(concerns)
            .map(|class| class.deadline)
            .max()
            .unwrap_or_default();
        let grace = GRACE_STEPS.into_iter().find(|step| longest <= *step);
        share::Terms {
            short_ttl: terms.lease,
            long_ttl: terms.lease_floor,
            rebalance_every: REBALANCE,
            grace: grace.unwrap_or(longest),
            ..share::Terms::default()
        }
    }

    /// Tells every member of a confirmed renewal.
    pub(super) fn on_renewed(&mut self, seq: u64, sent_at: Now, now: Now) {
        self.renewal = Some((seq, sent_at));
        for shared in self.shares.values_mut() {
            shared.member.set_lease(seq, sent_at, now);
        }
    }

    /// Lets time pass for all pools.
    pub(super) fn tick_shares(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let leaving = self.stage == Stage::Refusing;
        let renewal = self.renewal;
        let mut actions = Vec::new();
        for (id, shared) in &mut self.shares {
            if let Some((seq, sent_at)) = renewal {
                shared.member.set_lease(seq, sent_at, now);
            }
            if leaving {
                shared.member.leave();
            }
            let (capacity, demand) = shared.tokens.capacity_and_demand();
            shared.member.set_capacity(capacity);
            shared.member.set_demand(demand);
            shared.tokens.publish(&shared.member.limits());
            shared.member.set_in_flight(shared.tokens.in_flight());
            let asked = shared.member.tick(now);
            // A tick may have raised limits or lowered them for a gift.
            shared.tokens.publish(&shared.member.limits());
            actions.extend(asked.into_iter().map(|action| (id.clone(), action)));
        }
        for (id, action) in actions {
            self.run_share_action(&id, action, ctx);
        }
        self.read_rows(ctx);
    }

    fn run_share_action(&mut self, id: &PoolId, action: Action, ctx: &mut Context<Self>) {
        match action {
            Action::Transfer(give) => {
                let to = give.to.instance.clone();
                self.send_share(&to, id, &ShareMessage::Give(give));
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
        let Some(shared) = self.shares.get_mut(id) else {
            return;
        };
        if shared.busy {
            return;
        }
        let check = match (expect_epoch, shared.row_version) {
            (None, None) => None,
            (Some(epoch), Some((known, version))) if known == epoch => Some(version),
            // The row was learnt from a peer; its version has to be read before it is replaced.
            _ => {
                shared.read_at = None;
                return;
            }
        };
        shared.busy = true;
        let platform = Rc::clone(&self.platform);
        let key = row_key(id);
        let commit = async move { commit_row(&platform, key, check, row).await };
        self.finish_with(id.clone(), "share", commit, ctx);
    }

    /// Reads the rows that are due, or that a peer told of.
    fn read_rows(&mut self, ctx: &mut Context<Self>) {
        let now = self.now();
        let due = |shared: &Shared| {
            let newer = shared.heard_epoch > shared.member.epoch();
            let unread = shared.read_at.is_none_or(|at| now >= at + ROW_INTERVAL);
            !shared.busy && (unread || newer && shared.read_at.is_none_or(|at| now > at + RETRY))
        };
        let ids: Vec<PoolId> = self
            .shares
            .iter()
            .filter(|(_, shared)| due(shared))
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let shared = self.shares.get_mut(&id).expect("listed just now");
            shared.busy = true;
            shared.read_at = Some(now);
            let platform = Rc::clone(&self.platform);
            let key = row_key(&id);
            let read = async move { read_row(&platform, key).await };
            self.finish_with(id, "share", read, ctx);
        }
    }

    fn finish_with(
        &mut self,
        id: PoolId,
        call: &'static str,
        found: impl Future<Output = Found> + 'static,
        ctx: &mut Context<Self>,
    ) {
        ctx.spawn(found.into_actor(self).map(move |found, control, _| {
            control.note_call(call, !matches!(found, Found::Nothing));
            control.on_found(&id, found);
        }));
    }

    fn on_found(&mut self, id: &PoolId, found: Found) {
        let now = self.now();
        let Some(shared) = self.shares.get_mut(id) else {
            return;
        };
        shared.busy = false;
        match found {
            Found::Row(version, row) => {
                shared.row_version = Some((row.epoch, version));
                shared.member.on_row(&Arc::new(row), now);
            }
            Found::Absent => shared.member.on_row_absent(),
            Found::Nothing => {}
        }
    }

    /// Takes a message of another member.
    pub(super) fn on_share(&mut self, from: &InstanceId, incarnation: Incarnation, share: &Share) {
        let now = self.now();
        let Some(shared) = self.shares.get_mut(&share.pool) else {
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
                shared.heard_epoch = shared.heard_epoch.max(beat.epoch);
                shared.member.on_heartbeat(&beat, now);
            }
            ShareMessage::Give(give) if give.from == sender => {
                shared.member.on_transfer(&give, now)
            }
            ShareMessage::Row(row) => shared.member.on_row(&row, now),
            ShareMessage::Beat(_) | ShareMessage::Give(_) => {}
        }
    }

    fn send_share(&self, to: &InstanceId, pool: &PoolId, message: &ShareMessage) {
        if let (Some(mesh), Some(share)) = (&self.mesh, to_share(pool, message)) {
            mesh.send(to, Frame::Share(share));
        }
    }

    /// Members' heartbeats that are due for `to`.
    pub(super) fn share_beats(&mut self, to: &InstanceId) -> Vec<Share> {
        let now = self.now();
        let sent = self.beats_sent.entry(to.clone()).or_default();
        let mut due = Vec::new();
        for (id, shared) in &mut self.shares {
            let beat = shared.member.heartbeat(now);
            let told = Told::of(&beat, now);
            if sent.get(id).is_some_and(|last| !told.is_news_after(last)) {
                continue;
            }
            sent.insert(id.clone(), told);
            due.extend(to_share(id, &ShareMessage::Beat(beat)));
        }
        due
    }

    /// Reads the leases of members that were not heard of for a while.
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
            control.note_call("leases", read.is_ok());
            let now = control.now();
            let rows = read.unwrap_or_default();
            let leases = rows.iter().flatten().filter_map(parse_lease);
            for lease in leases {
                let member = MemberId {
                    instance: lease.row.identity.instance.clone(),
                    incarnation: lease.row.incarnation,
                };
                for shared in control.shares.values_mut() {
                    shared
                        .member
                        .observe_lease(&member, lease.row.seq, read_at, now);
                }
            }
        }));
    }

    /// Instances in this region's rows that no session stands to.
    fn silent_members(&self) -> Vec<InstanceId> {
        let up: Vec<InstanceId> = match &self.mesh {
            Some(mesh) => mesh.peers().into_iter().map(|info| info.instance).collect(),
            None => Vec::new(),
        };
        let me = &self.shared.settings.instance;
        let rows = self
            .shares
            .values()
            .filter_map(|shared| shared.member.row());
        let mut silent: Vec<InstanceId> = rows
            .flat_map(|row| row.members.keys())
            .map(|member| member.instance.clone())
            .filter(|instance| instance != me && !up.contains(instance))
            .collect();
        silent.sort();
        silent.dedup();
        silent
    }

    /// Whether this entry has its part of every pool of slots, or has waited long enough.
    ///
    /// A member that died without a word holds its part until its lease has lapsed; the rest of
    /// the region must not wait for that.
    pub(super) fn shares_joined(&self) -> bool {
        let joined = |shared: &Shared| match &shared.tokens {
            Tokens::Slots(pool) => pool.upstreams().is_empty() || shared.member.is_settled(),
            Tokens::Cap(_) => true,
        };
        let listed = self.picture.upstreams().next().is_some();
        let all = listed && self.shares.values().all(joined);
        all || self.now() >= self.started_at + JOIN_LIMIT
    }

    /// Whether every pool has given its tokens back, and its row says so.
    ///
    /// A member that ends while the row still lists it keeps its floor from the others until its
    /// long term has lapsed.
    pub(super) fn shares_released(&self) -> bool {
        let gone = |member: &Member| {
            let listed = member
                .row()
                .is_some_and(|row| row.members.contains_key(member.id()));
            member.is_released() && !listed
        };
        self.shares.values().all(|shared| gone(&shared.member))
    }

    /// Whether a pool counts this incarnation as gone for good.
    ///
    /// It can take part again only as the next incarnation, which a new process takes.
    pub(super) fn shares_dead(&self) -> bool {
        let now = self.now();
        let mut members = self.shares.values();
        members.any(|shared| shared.member.is_dead(now))
    }
}
