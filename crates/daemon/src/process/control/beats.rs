//! Heartbeats and the sessions between daemons.
//!
//! A beat says what the sender is and carries, a few at a time, what it knows of others. News (a
//! leaving upstream, a new version, a planned stop) goes out at once; all else waits for the next
//! beat. The interval grows with the number of partners, so that a large deployment's beats stay
//! within their share of bytes.

use crate::process::{
    control::Control,
    stop::Stage, //
};
use actix::{
    AsyncContext,
    Context,
    StreamHandler, //
};
use base::{
    Incarnation,
    InstanceId,
    Now,
    Version, //
};
use bytes::Bytes;
use bytestring::ByteString;
use member::{
    partners,
    BeatFacts,
    Freshness,
    Identity,
    LeaseState,
    Place,
    Summary,
    UpstreamMark, //
};
use peer::{
    Beat,
    BeatState,
    Event,
    Frame,
    InstanceSummary,
    Key,
    LeavingUpstream,
    Mesh,
    Options,
    Partner, //
};
use std::{
    net::SocketAddr,
    time::Duration, //
};

/// Partners in each other region.
const PARTNERS_PER_REGION: usize = 2;
/// Seed of the choice of partners; the same everywhere.
const PARTNERS_SEED: u64 = 0;
/// Least time between beats for each partner: 50 partners are told every five seconds.
const BEAT_PER_PARTNER: Duration = Duration::from_millis(100);
/// Summaries of other instances in one beat.
const SUMMARIES_PER_BEAT: usize = 4;
/// Longest that a beat is taken to have been under way when no round trip is known.
const TRANSIT: Duration = Duration::from_millis(200);

impl Control {
    /// Opens the peers' port.
    pub(super) fn start_mesh(&mut self, ctx: &mut Context<Self>) {
        let Some(listener) = self.peers_listener.take() else {
            return;
        };
        let settings = &self.shared.settings;
        let identity = peer::Identity {
            instance: settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let key = Key::from_text(settings.peer_key.expose());
        let options = Options {
            seed: rand::random(),
            ..Options::default()
        };
        match Mesh::start(listener, identity, key, options) {
            Ok((mesh, events)) => {
                ctx.add_stream(events);
                self.mesh = Some(mesh);
            }
            Err(error) => spdlog::error!("the peers' port: {}", error),
        }
    }

    /// Chooses whom to keep sessions to.
    pub(super) fn set_partners(&mut self) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        let settings = &self.shared.settings;
        let me = Place {
            instance: settings.instance.clone(),
            region: settings.region.clone(),
            failure_domain: settings.failure_domain.clone(),
        };
        let known: Vec<(Place, SocketAddr)> = self
            .picture
            .instances()
            .filter(|(_, facts)| facts.state != LeaseState::Left)
            .filter_map(|(_, facts)| {
                let addr = settings.dial(&facts.identity.peers_addr);
                Some((place_of(&facts.identity), addr.parse().ok()?))
            })
            .collect();
        let all: Vec<Place> = known.iter().map(|(place, _)| place.clone()).collect();
        let chosen = partners(&me, &all, PARTNERS_PER_REGION, PARTNERS_SEED);
        // Members of one pool have to hear each other, whatever their failure domain.
        let wanted = known
            .into_iter()
            .filter(|(place, _)| place.region == me.region || chosen.contains(&place.instance))
            .map(|(place, addr)| Partner {
                instance: place.instance,
                addr,
            });
        let wanted: Vec<Partner> = wanted.collect();
        self.partners = wanted.iter().map(|to| to.instance.clone()).collect();
        mesh.set_partners(wanted);
    }

    /// Sends a beat to every peer that is due for one.
    pub(super) fn tick_beats(&mut self) {
        let now = self.now();
        let Some(mesh) = self.mesh.clone() else {
            return;
        };
        let peers = mesh.peers();
        let count = u32::try_from(peers.len()).unwrap_or(u32::MAX);
        let interval = self
            .shared
            .settings
            .terms
            .beat
            .max(BEAT_PER_PARTNER * count);
        if now < self.beat_at + interval && !self.beat_news {
            return;
        }
        self.beat_at = now;
        self.beat_news = false;
        for peer in peers {
            let beat = self.make_beat(&peer.instance, peer.region == self.shared.settings.region);
            mesh.send(&peer.instance, Frame::Beat(beat));
        }
    }

    /// Sends beats at the next tick, whatever the interval.
    pub(super) fn beat_soon(&mut self) {
        self.beat_news = true;
    }

    fn make_beat(&mut self, to: &InstanceId, same_region: bool) -> Beat {
        let now = self.now();
        self.beat_seq += 1;
        let shares = if same_region {
            self.share_beats(to)
        } else {
            Vec::new()
        };
        let leaving = self.picture.upstream_marks(now);
        Beat {
            seq: self.beat_seq,
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            state: self.beat_state(),
            version: self.serving_version(),
            digest: Bytes::new(),
            instances: self.some_summaries(to),
            regions: self.region_summaries(same_region),
            leaving_upstreams: leaving.into_iter().map(to_leaving).collect(),
            shares,
        }
    }

    /// Version that callers are served by; zero before the first, which keeps this entry out of
    /// other daemons' look-up answers.
    fn serving_version(&self) -> Version {
        if self.stage == Stage::Starting {
            0
        } else {
            self.version()
        }
    }

    fn beat_state(&self) -> BeatState {
        if self.is_stopping() {
            BeatState::Leaving
        } else {
            BeatState::Live
        }
    }

    /// A few summaries of others, the next ones with each beat.
    fn some_summaries(&mut self, to: &InstanceId) -> Vec<InstanceSummary> {
        let all = self.picture.summaries(to, self.now());
        if all.is_empty() {
            return Vec::new();
        }
        let count = all.len().min(SUMMARIES_PER_BEAT);
        let first = self.summary_cursor % all.len();
        self.summary_cursor = self.summary_cursor.wrapping_add(1);
        (0..count)
            .map(|offset| &all[(first + offset) % all.len()])
            .map(|(instance, summary)| self.to_wire(instance, summary))
            .collect()
    }

    fn to_wire(&self, instance: &InstanceId, summary: &Summary) -> InstanceSummary {
        let listed = self.picture.instance(instance).map(|facts| &facts.identity);
        let place = listed.map_or_else(
            || (ByteString::new(), ByteString::new()),
            |identity| (identity.region.clone(), identity.failure_domain.clone()),
        );
        // Addresses of listed instances are left out: everyone can read the list.
        let addrs = summary.identity.as_ref().map_or_else(
            || [ByteString::new(), ByteString::new(), ByteString::new()],
            |identity| {
                [
                    identity.callers_addr.clone(),
                    identity.peers_addr.clone(),
                    identity.operator_addr.clone(),
                ]
            },
        );
        let [callers_addr, peers_addr, operator_addr] = addrs;
        InstanceSummary {
            instance: instance.clone(),
            incarnation: summary.incarnation,
            version: summary.version,
            leaving: summary.state != LeaseState::Live,
            age_ms: summary.age_ms,
            callers_addr,
            peers_addr,
            operator_addr,
            region: place.0,
            failure_domain: place.1,
        }
    }

    fn on_beat(
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
        let facts = BeatFacts {
            identity,
            incarnation,
            version: beat.version,
            state: state_of(beat.state == BeatState::Leaving),
            age: TRANSIT,
        };
        let before = self.picture.instance(from).map(|facts| {
            let silent = self.picture.freshness(from, now) == Freshness::Silent;
            (facts.state, facts.incarnation, facts.version, silent)
        });
        self.picture.heard(from, &facts, now);
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

    fn on_summary(&mut self, wire: &InstanceSummary, now: Now) {
        let identity = (!wire.callers_addr.is_empty()).then(|| Identity {
            instance: wire.instance.clone(),
            region: wire.region.clone(),
            failure_domain: wire.failure_domain.clone(),
            callers_addr: wire.callers_addr.clone(),
            peers_addr: wire.peers_addr.clone(),
            operator_addr: wire.operator_addr.clone(),
        });
        let summary = Summary {
            incarnation: wire.incarnation,
            version: wire.version,
            state: state_of(wire.leaving),
            age_ms: wire.age_ms,
            identity,
        };
        self.picture
            .passed_on(&wire.instance, &summary, TRANSIT, now);
    }

    fn on_leaving_mark(&mut self, wire: &LeavingUpstream, now: Now) {
        let mark = UpstreamMark {
            upstream: wire.upstream.clone(),
            age_ms: wire.age_ms,
        };
        if self.picture.upstream_marked(&mark, TRANSIT, now) {
            self.mark_leaving(&wire.upstream);
            self.beat_soon();
        }
    }

    /// Marks an upstream of this region in its pool.
    pub(super) fn mark_leaving(&mut self, id: &str) {
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

impl StreamHandler<Event> for Control {
    fn handle(&mut self, event: Event, ctx: &mut Context<Self>) {
        match event {
            Event::Up(_) | Event::Reopened(_) => self.beat_soon(),
            Event::Frame {
                from,
                incarnation,
                frame,
            } => self.on_frame(&from, incarnation, frame, ctx),
            Event::Down { .. } => self.publish(),
            Event::Stranger { .. } => {
                metrics::counter!(crate::process::metric::STRANGERS).increment(1);
            }
        }
    }

    fn finished(&mut self, _: &mut Context<Self>) {}
}

impl Control {
    fn on_frame(
        &mut self,
        from: &InstanceId,
        incarnation: Incarnation,
        frame: Frame,
        ctx: &mut Context<Self>,
    ) {
        match frame {
            Frame::Beat(beat) => self.on_beat(from, incarnation, &beat, ctx),
            Frame::Share(share) => self.on_share(from, incarnation, &share),
            Frame::ConfigWant(want) => self.on_config_want(from, &want, ctx),
            Frame::ConfigBody(part) => self.on_config_part(from, part, ctx),
            Frame::HandOver(offer) => self.on_hand_over(from, incarnation, &offer),
            Frame::HandOverAck(ack) => self.on_hand_over_ack(&ack),
            Frame::Hello(_) | Frame::Proof(_) | Frame::Goodbye(_) => {}
        }
    }
}

fn place_of(identity: &Identity) -> Place {
    Place {
        instance: identity.instance.clone(),
        region: identity.region.clone(),
        failure_domain: identity.failure_domain.clone(),
    }
}

fn state_of(leaving: bool) -> LeaseState {
    if leaving {
        LeaseState::Leaving
    } else {
        LeaseState::Live
    }
}

fn to_leaving(mark: UpstreamMark) -> LeavingUpstream {
    LeavingUpstream {
        upstream: mark.upstream,
        age_ms: mark.age_ms,
    }
}
