//! Decides when a heartbeat is sent to a peer, and with which content.

use crate::process::{
    control::{
        heartbeats::{
            sent_state::{
                ClassifiedSummaries,
                SentState, //
            },
            wire, //
        },
        Control, //
    },
    stop::Stage, //
};
use base::{
    InstanceId,
    Now,
    Version, //
};
use bytes::Bytes;
use member::Summary;
use peer::{
    Beat,
    BeatState,
    Frame,
    InstanceSummary,
    PeerInfo,
    RegionSummary, //
};
use std::time::Duration;

/// Minimum heartbeat interval per peer, within the region. It bounds the bandwidth of the shares
/// carried in heartbeats.
const LOCAL_INTERVAL_PER_PEER: Duration = Duration::from_millis(350);
/// Maximum heartbeat interval within the region. Heartbeats carry promises about capacity, which
/// must arrive well within a lease, whatever the bandwidth.
const LOCAL_INTERVAL_MAX: Duration = Duration::from_secs(3);
/// Minimum heartbeat interval per peer, to other regions. With twelve daemons each has nine peers,
/// which results in two thirds of the time after which an instance counts as silent.
const REMOTE_INTERVAL_PER_PEER: Duration = Duration::from_millis(230);
/// Maximum heartbeat interval to other regions, so that an instance without sessions to the
/// receiver is reported before it counts as silent.
const REMOTE_INTERVAL_MAX: Duration = Duration::from_millis(2500);
/// Maximum number of instances with which a new version is sent at once as a change, which lets a
/// waiting accept end soon. All instances change version at the same time: among hundreds, that
/// would take more bandwidth than everything else, so the rotating summaries carry it instead.
const VERSION_UPDATES_MAX_INSTANCES: usize = 32;

impl Control {
    /// Sends a heartbeat to every peer for which one is due.
    pub(crate) fn tick_heartbeats(&mut self) {
        let now = self.now();
        let Some(mesh) = self.mesh.clone() else {
            return;
        };
        let peers = mesh.peers();
        self.apply_pongs(&peers, now);
        self.sent_states
            .retain(|id, _| peers.iter().any(|peer| peer.instance == *id));
        let requested = std::mem::take(&mut self.heartbeat_requested);
        let own = self.shared.settings.region.clone();
        let (own_part, region_total) = (self.region_summaries(true), self.region_summaries(false));
        for peer in &peers {
            let same_region = peer.region == own;
            let loads = if same_region {
                &own_part
            } else {
                &region_total
            };
            let interval = self.heartbeat_interval(same_region, peers.len());
            let min_interval = self.shared.settings.terms.beat;
            let sent_state = self.sent_states.entry(peer.instance.clone()).or_default();
            let full = requested || sent_state.is_due(interval, now);
            if full || sent_state.has_urgent_load(loads, min_interval, now) {
                let beat = self.build_heartbeat(peer, loads, full, now);
                mesh.send(&peer.instance, Frame::Beat(beat));
            }
        }
    }

    /// Heartbeat interval for one of `count` peers.
    fn heartbeat_interval(&self, same_region: bool, count: usize) -> Duration {
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let scaled = if same_region {
            (LOCAL_INTERVAL_PER_PEER * count).min(LOCAL_INTERVAL_MAX)
        } else {
            (REMOTE_INTERVAL_PER_PEER * count).min(REMOTE_INTERVAL_MAX)
        };
        self.shared.settings.terms.beat.max(scaled)
    }

    /// Requests heartbeats to all peers at the next tick, regardless of the interval.
    pub(crate) fn request_heartbeats(&mut self) {
        self.heartbeat_requested = true;
    }

    /// Builds a heartbeat. One that is not `full` contains only changed summaries.
    fn build_heartbeat(
        &mut self,
        to: &PeerInfo,
        loads: &[RegionSummary],
        full: bool,
        now: Now,
    ) -> Beat {
        self.heartbeat_seq += 1;
        let shares = if to.region == self.shared.settings.region {
            self.member_heartbeats(&to.instance)
        } else {
            Vec::new()
        };
        let instances = self.select_summaries(to, full, now);
        let sent_state = self.sent_states.entry(to.instance.clone()).or_default();
        sent_state.record_sent(full, now);
        let regions = sent_state.take_due_loads(loads, now);
        let leaving = self.membership_view.upstream_marks(now);
        Beat {
            seq: self.heartbeat_seq,
            instance: self.shared.settings.instance.clone(),
            incarnation: self.shared.incarnation(),
            state: self.heartbeat_state(),
            version: self.serving_version(),
            digest: Bytes::new(),
            instances,
            regions,
            leaving_upstreams: leaving.into_iter().map(wire::to_leaving_upstream).collect(),
            shares,
        }
    }

    /// Version used to serve callers; zero until this entry serves, which keeps it out of other
    /// daemons' look-up answers.
    fn serving_version(&self) -> Version {
        if self.stage == Stage::Starting {
            0
        } else {
            self.version()
        }
    }

    fn heartbeat_state(&self) -> BeatState {
        if self.is_stopping() {
            BeatState::Leaving
        } else {
            BeatState::Live
        }
    }

    /// Summaries of other instances: the changed ones, and if `full` the next few of the rest.
    fn select_summaries(&mut self, to: &PeerInfo, full: bool, now: Now) -> Vec<InstanceSummary> {
        let all = self.membership_view.summaries(&to.instance, now);
        let mut sent_state = self.sent_states.remove(&to.instance).unwrap_or_default();
        let classified = self.classify(&all, to, &sent_state);
        let chosen = sent_state.select(classified, full);
        for index in &chosen {
            let (instance, summary) = &all[*index];
            sent_state.record_instance(instance, summary);
        }
        self.sent_states.insert(to.instance.clone(), sent_state);
        let chosen = chosen.into_iter().map(|index| &all[index]);
        chosen
            .map(|(instance, summary)| self.to_wire(instance, summary))
            .collect()
    }

    /// Classifies summaries by their relevance to the receiver.
    ///
    /// The receiver has its own sessions within its region. For the rest of the sender's region it
    /// depends on its few sessions to that region, so those summaries take precedence.
    fn classify(
        &self,
        all: &[(InstanceId, Summary)],
        to: &PeerInfo,
        sent_state: &SentState,
    ) -> ClassifiedSummaries {
        let own = &self.shared.settings.region;
        let with_versions = all.len() <= VERSION_UPDATES_MAX_INSTANCES;
        let mut classified = ClassifiedSummaries::default();
        for (index, (id, summary)) in all.iter().enumerate() {
            let facts = self.membership_view.instance(id);
            let region = facts.map(|facts| &facts.identity.region);
            if sent_state.has_changed(id, summary, with_versions) {
                classified.changed.push(index);
            } else if region == Some(&to.region) {
                continue;
            } else if region == Some(own) {
                classified.sender_region.push(index);
            } else {
                classified.third_regions.push(index);
            }
        }
        classified
    }

    fn to_wire(&self, instance: &InstanceId, summary: &Summary) -> InstanceSummary {
        let known = self.membership_view.instance(instance);
        wire::to_summary(instance, summary, known.map(|facts| &facts.identity))
    }
}
