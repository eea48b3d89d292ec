//! Heartbeats and the sessions between daemons.
//!
//! A beat says what the sender is and carries what the receiver doesn't know yet: its region's load
//! where that changed, and a few of the instances that the receiver has no sessions to. News (a
//! leaving upstream, a new version, a planned stop) goes out at once, and so does a marked change
//! of load; all else waits for the next beat. The interval grows with the number of peers, so that
//! a large deployment's beats stay within their share of bytes.
//!
//! That a peer lives is not told by its beats but by the pongs of its session, which cost a few
//! bytes: with beats seconds apart a killed peer would else be named in look-ups for as long.

use crate::process::{
    control::{
        Control,
        TICK, //
    },
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
    ServiceId,
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
    Partner,
    PeerInfo,
    RegionSummary, //
};
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::Duration, //
};

/// Partners in each other region.
const PARTNERS_PER_REGION: usize = 2;
/// Seed of the choice of partners; the same everywhere.
const PARTNERS_SEED: u64 = 0;
/// Least time between beats for each peer, within the region: it pays for the shares on them.
const OWN_BEAT_PER_PEER: Duration = Duration::from_millis(350);
/// Longest time between beats within the region. Promises on capacity ride on them and must come
/// well within a lease, whatever that costs.
const OWN_BEAT_MAX: Duration = Duration::from_secs(3);
/// Least time between beats for each peer, to other regions. Twelve daemons have nine peers each,
/// which makes it two thirds of the time after which an instance that isn't heard of is silent.
const OTHER_BEAT_PER_PEER: Duration = Duration::from_millis(230);
/// Longest time between beats to other regions, so that an instance without sessions to the receiver
/// is heard of before it counts as silent.
const OTHER_BEAT_MAX: Duration = Duration::from_millis(2500);
/// Summaries of the own region's instances in one beat to another region.
const OWN_SUMMARIES: usize = 8;
/// Summaries of other instances in one beat that are not news.
const FAR_SUMMARIES: usize = 1;
/// Summaries in one beat that are news.
const NEWS_SUMMARIES: usize = 16;
/// Longest that a load that didn't change goes unsaid; receivers use it fully for three seconds.
const LOAD_UNCHANGED: Duration = Duration::from_secs(2);
/// Part of a service's slots by which its load changes so much that it can't wait for a beat.
const MARKED_PART: u64 = 8;
/// Part of a service's slots by which its load changes enough to be told with the next beat.
const CHANGED_PART: u64 = 32;
/// Instances up to which each is told at once of each other's new version, which lets an accept
/// that waits end soon. A version is news of everyone at the same time: among hundreds it would
/// take more bytes than all else, and the next turns have to do.
const VERSION_NEWS_MAX: usize = 32;
/// Least change of a load that counts: a request or two come and go all the time.
const LEAST_CHANGE_MILLI_SLOTS: u64 = 2500;
/// Beats between two that pass on instances of third regions.
const FAR_EVERY: usize = 4;
/// Longest that a beat is taken to have been under way when no round trip is known.
const TRANSIT: Duration = Duration::from_millis(200);

/// What one peer was told, and what its session says of it.
#[derive(Debug, Default)]
pub(super) struct Telling {
    /// When it was last sent a whole beat.
    beat_at: Option<Now>,
    /// When it was last sent any beat.
    said_at: Option<Now>,
    /// Round trip as of its last pong.
    rtt: Duration,
    /// Instances as they were last told.
    instances: BTreeMap<InstanceId, (Incarnation, LeaseState, Version)>,
    /// Load of each service as it was last told.
    loads: BTreeMap<ServiceId, (Now, RegionSummary)>,
    /// Place in the summaries that are no news.
    cursor: usize,
}

impl Telling {
    /// Whether a whole beat is due.
    fn is_due(&self, interval: Duration, now: Now) -> bool {
        self.beat_at.is_none_or(|at| now >= at + interval)
    }

    /// Whether a load changed markedly, and the last beat is `least` ago.
    fn has_load_news(&self, loads: &[RegionSummary], least: Duration, now: Now) -> bool {
        let may = self.said_at.is_none_or(|at| now >= at + least);
        may && loads.iter().any(|load| self.differs(load, MARKED_PART))
    }

    /// Whether a load differs from what was told by more than one `part`th of its slots.
    ///
    /// What is in use at this moment doesn't count: it jumps with each request, and what is made
    /// of it are the two demands, which are smoothed.
    fn differs(&self, load: &RegionSummary, part: u64) -> bool {
        let Some((_, told)) = self.loads.get(&load.service) else {
            return true;
        };
        let limit = (load.slots * 1000 / part).max(LEAST_CHANGE_MILLI_SLOTS);
        [
            (load.slots * 1000, told.slots * 1000),
            (load.arriving_milli_slots, told.arriving_milli_slots),
            (load.carrying_milli_slots, told.carrying_milli_slots),
        ]
        .into_iter()
        .any(|(now, told)| now.abs_diff(told) > limit)
    }

    /// Loads that changed or were not told for a while; they count as told from now on.
    fn loads_to_tell(&mut self, loads: &[RegionSummary], now: Now) -> Vec<RegionSummary> {
        let is_old = |load: &RegionSummary| {
            let told = self.loads.get(&load.service);
            told.is_none_or(|(at, _)| now >= *at + LOAD_UNCHANGED)
        };
        let is_due = |load: &&RegionSummary| is_old(load) || self.differs(load, CHANGED_PART);
        let due: Vec<RegionSummary> = loads.iter().filter(is_due).cloned().collect();
        for load in &due {
            self.loads.insert(load.service.clone(), (now, load.clone()));
        }
        due
    }

    /// Whether the peer was told of no such life or state, or version where that counts.
    fn is_news(&self, instance: &InstanceId, summary: &Summary, with_versions: bool) -> bool {
        let Some((incarnation, state, version)) = self.instances.get(instance) else {
            return true;
        };
        let known_life = (*incarnation, *state) == (summary.incarnation, summary.state);
        !known_life || with_versions && *version != summary.version
    }
}

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
            // Known before silence would tell: look-ups must soon stop naming who is gone.
            reopen_timeout: settings.terms.beat_silent / 2,
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
        self.hear_pongs(&peers, now);
        self.tellings
            .retain(|id, _| peers.iter().any(|peer| peer.instance == *id));
        let news = std::mem::take(&mut self.beat_news);
        let own = self.shared.settings.region.clone();
        let (here, abroad) = (self.region_summaries(true), self.region_summaries(false));
        for peer in &peers {
            let same_region = peer.region == own;
            let loads = if same_region { &here } else { &abroad };
            let interval = self.beat_interval(same_region, peers.len());
            let least = self.shared.settings.terms.beat;
            let telling = self.tellings.entry(peer.instance.clone()).or_default();
            let whole = news || telling.is_due(interval, now);
            if whole || telling.has_load_news(loads, least, now) {
                let beat = self.make_beat(peer, loads, whole, now);
                mesh.send(&peer.instance, Frame::Beat(beat));
            }
        }
    }

    /// Time between beats to one peer, of `count` in all.
    fn beat_interval(&self, same_region: bool, count: usize) -> Duration {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let paced = if same_region {
            (OWN_BEAT_PER_PEER * count).min(OWN_BEAT_MAX)
        } else {
            (OTHER_BEAT_PER_PEER * count).min(OTHER_BEAT_MAX)
        };
        self.shared.settings.terms.beat.max(paced)
    }

    /// Takes the pongs that came since the last tick as signs of life.
    ///
    /// Whatever changes at a peer it says at once, so that between its beats the last one holds.
    fn hear_pongs(&mut self, peers: &[PeerInfo], now: Now) {
        for peer in peers {
            let telling = self.tellings.entry(peer.instance.clone()).or_default();
            // Each pong brings a new round trip; the same one to the nanosecond is rare and only
            // makes that pong count for nothing.
            if telling.rtt == peer.rtt {
                continue;
            }
            telling.rtt = peer.rtt;
            let Some(known) = self.picture.instance(&peer.instance) else {
                continue;
            };
            // What goes wrong otherwise: a life of which only the session is known would count
            // as the one before, with that one's version.
            if known.incarnation != peer.incarnation {
                continue;
            }
            let facts = BeatFacts {
                identity: known.identity.clone(),
                incarnation: known.incarnation,
                version: known.version,
                state: known.state,
                age: peer.rtt + TICK,
            };
            self.picture.heard(&peer.instance, &facts, now);
        }
    }

    /// Sends beats at the next tick, whatever the interval.
    pub(super) fn beat_soon(&mut self) {
        self.beat_news = true;
    }

    /// Makes a beat; one that is not `whole` says nothing of instances that is no news.
    fn make_beat(&mut self, to: &PeerInfo, loads: &[RegionSummary], whole: bool, now: Now) -> Beat {
        self.beat_seq += 1;
        let shares = if to.region == self.shared.settings.region {
            self.share_beats(&to.instance)
        } else {
            Vec::new()
        };
        let instances = self.some_summaries(to, whole, now);
        let telling = self.tellings.entry(to.instance.clone()).or_default();
        telling.said_at = Some(now);
        if whole {
            telling.beat_at = Some(now);
        }
        let regions = telling.loads_to_tell(loads, now);
        let leaving = self.picture.upstream_marks(now);
        Beat {
            seq: self.beat_seq,
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            state: self.beat_state(),
            version: self.serving_version(),
            digest: Bytes::new(),
            instances,
            regions,
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

    /// Summaries of others: what is news to the receiver, and the next few of what isn't.
    ///
    /// Who is in the receiver's region it hears itself. Its sessions to the sender's region are
    /// the only ones that tell it of the rest of that region, so those come first.
    fn some_summaries(&mut self, to: &PeerInfo, whole: bool, now: Now) -> Vec<InstanceSummary> {
        let own = self.shared.settings.region.clone();
        let all = self.picture.summaries(&to.instance, now);
        let region_of = |id: &InstanceId| self.picture.instance(id).map(|f| &f.identity.region);
        let mut telling = self.tellings.remove(&to.instance).unwrap_or_default();
        let with_versions = all.len() <= VERSION_NEWS_MAX;
        let (mut news, mut near, mut far) = (Vec::new(), Vec::new(), Vec::new());
        for (index, (id, summary)) in all.iter().enumerate() {
            let region = region_of(id);
            if telling.is_news(id, summary, with_versions) {
                news.push(index);
            } else if region == Some(&to.region) {
                continue;
            } else if region == Some(&own) {
                near.push(index);
            } else {
                far.push(index);
            }
        }
        news.truncate(NEWS_SUMMARIES);
        if whole {
            telling.cursor = telling.cursor.wrapping_add(1);
            news.extend(window(&near, telling.cursor, OWN_SUMMARIES));
        }
        if whole && telling.cursor % FAR_EVERY == 0 {
            let turn = telling.cursor / FAR_EVERY;
            news.extend(window(&far, turn, FAR_SUMMARIES));
        }
        for index in &news {
            let (id, summary) = &all[*index];
            let said = (summary.incarnation, summary.state, summary.version);
            telling.instances.insert(id.clone(), said);
        }
        self.tellings.insert(to.instance.clone(), telling);
        news.into_iter()
            .map(|index| &all[index])
            .map(|(instance, summary)| self.to_wire(instance, summary))
            .collect()
    }

    fn to_wire(&self, instance: &InstanceId, summary: &Summary) -> InstanceSummary {
        let listed = self.picture.instance(instance).map(|facts| &facts.identity);
        // Places and addresses of listed instances are left out: everyone can read the list.
        let unlisted = listed.filter(|_| summary.identity.is_some());
        let place = unlisted.map_or_else(
            || (ByteString::new(), ByteString::new()),
            |identity| (identity.region.clone(), identity.failure_domain.clone()),
        );
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
            // What was on its way is lost; all is news to this peer, and at the next tick.
            Event::Up(peer) | Event::Reopened(peer) => {
                self.tellings.remove(&peer.instance);
                self.beats_sent.remove(&peer.instance);
            }
            Event::Frame {
                from,
                incarnation,
                frame,
            } => self.on_frame(&from, incarnation, frame, ctx),
            Event::Down { .. } => self.publish(),
            // Counted by the mesh.
            Event::Stranger { .. } => {}
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

/// `count` of `all` at most, beginning at a place that moves by as many with each `turn`.
fn window(all: &[usize], turn: usize, count: usize) -> impl Iterator<Item = usize> + '_ {
    let len = all.len().max(1);
    let first = turn.wrapping_mul(count) % len;
    all.iter()
        .cycle()
        .skip(first)
        .take(count.min(all.len()))
        .copied()
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
