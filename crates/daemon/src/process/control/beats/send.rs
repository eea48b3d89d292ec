//! When a beat goes out to a peer, and with what.

use crate::process::{
    control::{
        beats::{
            telling::{
                Sorted,
                Telling, //
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
/// Instances up to which each is told at once of each other's new version, which lets an accept
/// that waits end soon. A version is news of everyone at the same time: among hundreds it would
/// take more bytes than all else, and the next turns have to do.
const VERSION_NEWS_MAX: usize = 32;

impl Control {
    /// Sends a beat to every peer that is due for one.
    pub(crate) fn tick_beats(&mut self) {
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

    /// Sends beats at the next tick, whatever the interval.
    pub(crate) fn beat_soon(&mut self) {
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
        telling.sent(whole, now);
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
            leaving_upstreams: leaving.into_iter().map(wire::to_leaving).collect(),
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
    fn some_summaries(&mut self, to: &PeerInfo, whole: bool, now: Now) -> Vec<InstanceSummary> {
        let all = self.picture.summaries(&to.instance, now);
        let mut telling = self.tellings.remove(&to.instance).unwrap_or_default();
        let sorted = self.sorted(&all, to, &telling);
        let chosen = telling.choose(sorted, whole);
        for index in &chosen {
            let (instance, summary) = &all[*index];
            telling.told(instance, summary);
        }
        self.tellings.insert(to.instance.clone(), telling);
        let chosen = chosen.into_iter().map(|index| &all[index]);
        chosen
            .map(|(instance, summary)| self.to_wire(instance, summary))
            .collect()
    }

    /// Sorts summaries by what they are to the receiver.
    ///
    /// Who is in the receiver's region it hears itself. Its sessions to the sender's region are
    /// the only ones that tell it of the rest of that region, so those come before all others.
    fn sorted(&self, all: &[(InstanceId, Summary)], to: &PeerInfo, telling: &Telling) -> Sorted {
        let own = &self.shared.settings.region;
        let with_versions = all.len() <= VERSION_NEWS_MAX;
        let mut sorted = Sorted::default();
        for (index, (id, summary)) in all.iter().enumerate() {
            let facts = self.picture.instance(id);
            let region = facts.map(|facts| &facts.identity.region);
            if telling.is_news(id, summary, with_versions) {
                sorted.news.push(index);
            } else if region == Some(&to.region) {
                continue;
            } else if region == Some(own) {
                sorted.near.push(index);
            } else {
                sorted.far.push(index);
            }
        }
        sorted
    }

    fn to_wire(&self, instance: &InstanceId, summary: &Summary) -> InstanceSummary {
        let known = self.picture.instance(instance);
        wire::to_summary(instance, summary, known.map(|facts| &facts.identity))
    }
}
