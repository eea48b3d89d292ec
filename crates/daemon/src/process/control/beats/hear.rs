//! What is made of a beat that came, and of the pongs between beats.

use crate::process::control::{
    beats::wire,
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

/// Longest that a beat is taken to have been under way when no round trip is known.
const TRANSIT: Duration = Duration::from_millis(200);

impl Control {
    /// Takes the pongs that came since the last tick as signs of life.
    ///
    /// Whatever changes at a peer it says at once, so that between its beats the last one holds.
    pub(super) fn hear_pongs(&mut self, peers: &[PeerInfo], now: Now) {
        for peer in peers {
            let telling = self.tellings.entry(peer.instance.clone()).or_default();
            if !telling.has_new_pong(peer.rtt) {
                continue;
            }
            let Some(known) = self.picture.instance(&peer.instance) else {
                continue;
            };
            // What goes wrong otherwise: a life of which only the session is known would count
            // as the one before, with that one's version.
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
            self.picture.apply_heartbeat(&peer.instance, &facts, now);
        }
    }

    pub(super) fn on_beat(
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
            state: wire::state_of(beat.state == BeatState::Leaving),
            age: TRANSIT,
        };
        let before = self.picture.instance(from).map(|facts| {
            let silent = self.picture.freshness(from, now) == Freshness::Silent;
            (facts.state, facts.incarnation, facts.version, silent)
        });
        self.picture.apply_heartbeat(from, &facts, now);
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
        self.offer_version(from, beat.version, ctx);
        if before != Some((facts.state, incarnation, beat.version, false)) {
            self.publish();
        }
    }

    fn on_summary(&mut self, told: &InstanceSummary, now: Now) {
        let summary = wire::from_summary(told);
        self.picture
            .apply_summary(&told.instance, &summary, TRANSIT, now);
    }

    fn on_leaving_mark(&mut self, told: &LeavingUpstream, now: Now) {
        let mark = LeavingMark {
            upstream: told.upstream.clone(),
            age_ms: told.age_ms,
        };
        if self.picture.apply_upstream_mark(&mark, TRANSIT, now) {
            self.mark_leaving(&told.upstream);
            self.beat_soon();
        }
    }

    /// Marks an upstream of this region in its pool.
    fn mark_leaving(&mut self, id: &str) {
        for pool in self.pools.values() {
            let upstreams = pool.upstreams();
            if let Some(upstream) = upstreams.iter().find(|upstream| upstream.id == id) {
                if upstream.mark_leaving() {
                    spdlog::info!("upstream leaves", kv: { upstream = id.to_string() });
                }
            }
        }
    }

    fn identity_of(&self, instance: &InstanceId) -> Option<Identity> {
        let known = self.picture.instance(instance)?;
        Some(known.identity.clone())
    }
}
