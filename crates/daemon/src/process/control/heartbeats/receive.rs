//! Processes received heartbeats, and pongs between heartbeats.

use crate::process::control::{
    heartbeats::wire,
    Control,
    TICK, //
};
use actix::Context;
use base::{
    Incarnation,
    InstanceId,
    Now, //
};
use member::{
    Freshness,
    Heartbeat,
    Identity,
    LeavingMark, //
};
use peer::{
    Beat,
    BeatState,
    InstanceSummary,
    LeavingUpstream,
    PeerInfo, //
};
use std::time::Duration;

/// Assumed maximum transit time of a heartbeat when no round trip is known.
const ASSUMED_TRANSIT: Duration = Duration::from_millis(200);

impl Control {
    /// Treats pongs received since the last tick as signs of life.
    ///
    /// A peer reports its changes at once, so the state of its last heartbeat still holds between
    /// heartbeats.
    pub(super) fn apply_pongs(&mut self, peers: &[PeerInfo], now: Now) {
        for peer in peers {
            let sent_state = self.sent_states.entry(peer.instance.clone()).or_default();
            if !sent_state.has_new_pong(peer.rtt) {
                continue;
            }
            let Some(known) = self.membership_view.instance(&peer.instance) else {
                continue;
            };
            // Without this check, a new incarnation known only by its session would be credited
            // with the state and version of its predecessor.
            if known.incarnation != peer.incarnation {
                continue;
            }
            let facts = Heartbeat {
                identity: known.identity.clone(),
                incarnation: known.incarnation,
                version: known.version,
                state: known.state,
                age: peer.rtt + TICK,
            };
            self.membership_view
                .apply_heartbeat(&peer.instance, &facts, now);
        }
    }

    pub(super) fn on_heartbeat(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        beat: &Beat,
        ctx: &mut Context<Self>,
    ) {
        let now = self.now();
        let Some(identity) = self.identity_of(from) else {
            return;
        };
        let facts = Heartbeat {
            identity,
            incarnation,
            version: beat.version,
            state: wire::lease_state(beat.state == BeatState::Leaving),
            age: ASSUMED_TRANSIT,
        };
        let before = self.membership_view.instance(from).map(|facts| {
            let silent = self.membership_view.freshness(from, now) == Freshness::Silent;
            (facts.state, facts.incarnation, facts.version, silent)
        });
        self.membership_view.apply_heartbeat(from, &facts, now);
        for summary in &beat.instances {
            self.on_summary(summary, now);
        }
        for mark in &beat.leaving_upstreams {
            self.on_leaving_mark(mark, now);
        }
        self.on_region_summaries(from, &beat.regions, now);
        for share in &beat.shares {
            self.on_share(from, incarnation, share);
        }
        self.on_peer_version(from, beat.version, ctx);
        if before != Some((facts.state, incarnation, beat.version, false)) {
            self.publish();
        }
    }

    fn on_summary(&mut self, received: &InstanceSummary, now: Now) {
        let summary = wire::from_summary(received);
        self.membership_view
            .apply_summary(&received.instance, &summary, ASSUMED_TRANSIT, now);
    }

    fn on_leaving_mark(&mut self, received: &LeavingUpstream, now: Now) {
        let mark = LeavingMark {
            upstream: received.upstream.clone(),
            age_ms: received.age_ms,
        };
        if self
            .membership_view
            .apply_upstream_mark(&mark, ASSUMED_TRANSIT, now)
        {
            self.mark_leaving(&received.upstream);
            self.request_heartbeats();
        }
    }

    /// Marks an upstream of this region as leaving in its pool.
    fn mark_leaving(&mut self, id: &str) {
        for pool in self.pools.values() {
            let upstreams = pool.upstreams();
            if let Some(upstream) = upstreams.iter().find(|upstream| upstream.id == id) {
                if upstream.mark_leaving() {
                    spdlog::info!("upstream is leaving", kv: { upstream = id.to_string() });
                }
            }
        }
    }

    fn identity_of(&self, instance: &InstanceId) -> Option<Identity> {
        let known = self.membership_view.instance(instance)?;
        Some(known.identity.clone())
    }
}
