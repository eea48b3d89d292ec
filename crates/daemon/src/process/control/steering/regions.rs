//! Summaries of regions, told and heard, and the outlook made of them.
//!
//! Within a region each daemon tells the others of its own part. To other regions goes the sum
//! over what it heard of its own, so that what crosses regions does not grow with their entries.

use crate::{
    process::control::{
        steering::flows::Flows,
        Control,
        TICK, //
    },
    version::{
        ClassOutlook,
        Flow,
        Handed,
        Outlook,
        Sibling,
        Spill,
        LINK_UNKNOWN, //
    },
};
use base::{
    FastMap,
    InstanceId,
    Now,
    RegionId,
    ServiceId, //
};
use peer::RegionSummary;
use spec::Config;
use std::{
    collections::BTreeMap,
    sync::Arc,
    time::Duration, //
};
use steer::{
    Allowance,
    Demand,
    Freshness,
    FreshnessLimits, //
    RegionEstimate,
};

/// Age at which what one daemon of the own region said is not counted any more.
const PART_LIFE: Duration = Duration::from_secs(10);
/// Part of the demand heard of, in percent, from which the own part shows a burst: beyond what
/// chance makes of it.
const BURST_PCT: u64 = 130;
/// Time in which a made-up demand arrives; see [`demand_of`].
const SECOND: Duration = Duration::from_secs(1);

/// What was heard of regions.
#[derive(Debug, Default)]
pub(super) struct Regions {
    /// Parts of the own region, by daemon.
    parts: BTreeMap<(ServiceId, InstanceId), Heard>,
    /// Other regions as a whole.
    others: BTreeMap<(ServiceId, RegionId), Heard>,
    links: BTreeMap<RegionId, Duration>,
    /// What was handed to other daemons of the own region.
    handed: BTreeMap<(ServiceId, InstanceId), Arc<Handed>>,
}

/// One summary, and when it was true.
#[derive(Clone, Copy, Debug)]
struct Heard {
    sum: Sum,
    true_at: Now,
}

/// Load of one service in one region, or of a part of it.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    arriving: Demand,
    carrying: Demand,
    open: u32,
    in_use: u32,
    service: Duration,
    entries: u32,
}

impl Sum {
    fn of(flows: &Flows) -> Self {
        Self {
            arriving: demand_of(flows.arriving.milli_slots() + flows.backlog_milli_slots),
            carrying: flows.carrying,
            open: flows.capacity.open,
            in_use: flows.capacity.in_flight,
            service: flows.expected(),
            entries: 1,
        }
    }

    fn heard(summary: &RegionSummary) -> Self {
        Self {
            arriving: demand_of(summary.arriving_milli_slots),
            carrying: demand_of(summary.carrying_milli_slots),
            open: saturated(summary.slots),
            in_use: saturated(summary.in_use),
            service: Duration::from_micros(summary.latency_us),
            entries: 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.arriving.add(&other.arriving);
        self.carrying.add(&other.carrying);
        self.open = self.open.saturating_add(other.open);
        self.in_use = self.in_use.saturating_add(other.in_use);
        self.service = self.service.max(other.service);
        self.entries += other.entries;
    }

    /// Takes the own part for typical once it is far above what was heard of the others.
    ///
    /// Their word lags by a beat or two, and the queues of a burst grow meanwhile. Callers spread
    /// over the region's entries, so that a burst shows at each of them at once.
    fn follow_burst(&mut self, own: &Demand) {
        let typical = own.milli_slots() * u64::from(self.entries);
        if typical > self.arriving.milli_slots() / 100 * BURST_PCT {
            self.arriving = demand_of(typical);
        }
    }

    fn tell(&self, region: &RegionId, service: &ServiceId) -> RegionSummary {
        RegionSummary {
            region: region.clone(),
            service: service.clone(),
            slots: u64::from(self.open),
            in_use: u64::from(self.in_use),
            latency_us: u64::try_from(self.service.as_micros()).unwrap_or(u64::MAX),
            age_ms: 0,
            arriving_milli_slots: self.arriving.milli_slots(),
            carrying_milli_slots: self.carrying.milli_slots(),
        }
    }
}

/// Demand of `milli_slots` thousandths of a slot.
fn demand_of(milli_slots: u64) -> Demand {
    let mut demand = Demand::default();
    demand.tick(SECOND, saturated(milli_slots), Duration::from_millis(1));
    demand
}

fn saturated(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

impl Control {
    /// What this daemon says of its own region, or of its own part of it.
    pub(in crate::process::control) fn region_summaries(
        &self,
        same_region: bool,
    ) -> Vec<RegionSummary> {
        let region = &self.shared.settings.region;
        let now = self.now();
        let services = self.steering.services.iter();
        services
            .map(|(id, service)| {
                let sum = if same_region {
                    Sum::of(&service.flows)
                } else {
                    self.own_region_sum(id, &service.flows, now)
                };
                sum.tell(region, id)
            })
            .collect()
    }

    /// Takes what another daemon says of its region.
    pub(in crate::process::control) fn on_region_summaries(
        &mut self,
        from: &InstanceId,
        summaries: &[RegionSummary],
        now: Now,
    ) {
        let own = &self.shared.settings.region;
        let Some(facts) = self.picture.instance(from) else {
            return;
        };
        let region = facts.identity.region.clone();
        let regions = &mut self.steering.regions;
        for summary in summaries.iter().filter(|summary| summary.region == region) {
            let heard = Heard {
                sum: Sum::heard(summary),
                true_at: now.saturating_sub(Duration::from_millis(summary.age_ms)),
            };
            let service = summary.service.clone();
            if region == *own {
                regions.parts.insert((service, from.clone()), heard);
            } else {
                regions.others.insert((service, region.clone()), heard);
            }
        }
    }

    /// Load of one service in this region: this entry's part and those of the others.
    fn own_region_sum(&self, service: &ServiceId, flows: &Flows, now: Now) -> Sum {
        let mut sum = Sum::of(flows);
        let parts = self.steering.regions.parts.iter();
        for (_, heard) in parts.filter(|((of, _), _)| of == service) {
            if now.saturating_sub(heard.true_at) < PART_LIFE {
                sum.add(&heard.sum);
            }
        }
        sum
    }

    /// Works out and publishes what is expected of each region.
    pub(super) fn tick_regions(&mut self, now: Now) {
        let Some((version, config)) = self.config.clone() else {
            return;
        };
        let Regions { parts, handed, .. } = &mut self.steering.regions;
        parts.retain(|_, heard| now.saturating_sub(heard.true_at) < PART_LIFE);
        handed.retain(|key, _| parts.contains_key(key));
        self.measure_links();
        let snapshot = self.shared.published.load_full();
        if snapshot.version != version {
            return;
        }
        let admitting: Vec<bool> = snapshot
            .regions
            .iter()
            .map(|region| !region.entries.is_empty())
            .collect();
        let services: Vec<ServiceId> = self.steering.services.keys().cloned().collect();
        let mut classes = FastMap::default();
        for service in services {
            let outlook = self.service_outlook(&config, &service, &admitting, now);
            let outlook = Arc::new(outlook);
            let of_service = config.classes.iter();
            for class in of_service.filter(|class| class.service == service) {
                classes.insert(class.id.clone(), Arc::clone(&outlook));
            }
        }
        self.shared
            .outlook
            .store(Arc::new(Outlook { version, classes }));
    }

    /// Round trips to other regions, as the sessions measure them.
    fn measure_links(&mut self) {
        let Some(mesh) = &self.mesh else {
            return;
        };
        let own = &self.shared.settings.region;
        let mut least: BTreeMap<RegionId, Duration> = BTreeMap::new();
        for peer in mesh.peers() {
            if peer.region != *own && !peer.rtt.is_zero() {
                let known = least.entry(peer.region).or_insert(peer.rtt);
                *known = peer.rtt.min(*known);
            }
        }
        self.steering.regions.links.extend(least);
    }

    fn service_outlook(
        &mut self,
        config: &Config,
        service: &ServiceId,
        admitting: &[bool],
        now: Now,
    ) -> ClassOutlook {
        let own = self.shared.settings.region.clone();
        let estimates: Vec<RegionEstimate> = config
            .regions
            .iter()
            .zip(admitting)
            .map(|(region, &admitting)| RegionEstimate {
                admitting,
                drained: config.has_drain(&spec::DrainTarget::Region(region.id.clone())),
                ..self.estimate(service, &region.id, now)
            })
            .collect();
        let headroom_away_pct = self.headroom_away_pct(config, service, now);
        let spill = self.spill(config, service, &estimates, headroom_away_pct, now);
        let flows: Vec<Arc<Flow>> = match self.steering.services.get_mut(service) {
            Some(state) => config
                .regions
                .iter()
                .map(|region| Arc::clone(&state.flows.away(&region.id, now).flow))
                .collect(),
            None => Vec::new(),
        };
        debug_assert!(config.regions.iter().any(|region| region.id == own) || spill.is_empty());
        ClassOutlook {
            estimates,
            headroom_away_pct,
            spill,
            flows,
            siblings: self.siblings(service, now),
        }
    }

    /// Other entries of this region, as far as their word is fresh.
    fn siblings(&mut self, service: &ServiceId, now: Now) -> Vec<Sibling> {
        let Regions { parts, handed, .. } = &mut self.steering.regions;
        let fresh = parts.iter().filter(|((of, _), heard)| {
            let age = now.saturating_sub(heard.true_at);
            of == service && Freshness::of_age(age, &FreshnessLimits::default()).allows_new_shift()
        });
        let siblings = fresh.map(|(key, heard)| Sibling {
            instance: key.1.clone(),
            told_milli_slots: heard.sum.arriving.milli_slots(),
            open: heard.sum.open,
            handed: Arc::clone(handed.entry(key.clone()).or_default()),
        });
        siblings.collect()
    }

    /// What is expected of `region`; whether it admits is filled in by the caller.
    fn estimate(&self, service: &ServiceId, region: &RegionId, now: Now) -> RegionEstimate {
        let regions = &self.steering.regions;
        let own = *region == self.shared.settings.region;
        let heard = regions.others.get(&(service.clone(), region.clone()));
        let unknown = RegionEstimate {
            wait: Duration::ZERO,
            service_time: Duration::ZERO,
            round_trip: if own {
                Duration::ZERO
            } else {
                regions.links.get(region).copied().unwrap_or(LINK_UNKNOWN)
            },
            headroom_left_pct: 100,
            admitting: true,
            shift_allowed: false,
            freshness: if own {
                Freshness::Fresh
            } else {
                Freshness::Old
            },
            drained: false,
        };
        if let Some(state) = self.steering.services.get(service).filter(|_| own) {
            let here = self.own_region_sum(service, &state.flows, now);
            return RegionEstimate {
                headroom_left_pct: here.carrying.headroom_left_pct(here.open),
                ..unknown
            };
        }
        let Some(heard) = heard else {
            return unknown;
        };
        let age = now.saturating_sub(heard.true_at);
        RegionEstimate {
            service_time: heard.sum.service,
            headroom_left_pct: heard.sum.carrying.headroom_left_pct(heard.sum.open),
            freshness: Freshness::of_age(age, &FreshnessLimits::default()),
            ..unknown
        }
    }

    /// Parts of the arriving work that exceed the headroom here, by where they may go.
    ///
    /// The nearest region comes first; what does not fit there goes to the next.
    fn spill(
        &mut self,
        config: &Config,
        service: &ServiceId,
        estimates: &[RegionEstimate],
        headroom_away_pct: u32,
        now: Now,
    ) -> Vec<Spill> {
        let Some(flows) = self.steering.services.get(service).map(|s| &s.flows) else {
            return Vec::new();
        };
        let mut here = self.own_region_sum(service, flows, now);
        let own_part = Sum::of(flows);
        here.follow_burst(&own_part.arriving);
        let headroom_pct = headroom_of(config, service);
        let senders = u32::try_from(config.regions.len().saturating_sub(1)).unwrap_or(1);
        let own = self.shared.settings.region.clone();
        let mut order: Vec<usize> = (0..estimates.len())
            .filter(|&index| config.regions[index].id != own)
            .collect();
        order.sort_by_key(|&index| (estimates[index].expected_latency(), index));
        let mut left = here
            .arriving
            .spill_permille(here.open, headroom_pct, &boundless());
        let here_excess = left;
        // Slots are not shared out evenly at each moment: the entry that has fewest for its work
        // shifts most, or its queue grows while the others have none.
        let own_excess =
            own_part
                .arriving
                .spill_permille(own_part.open, headroom_pct, &boundless());
        let mut spill = Vec::new();
        for index in order {
            let region = &config.regions[index].id;
            let allowance = self.allow(
                service,
                region,
                &estimates[index],
                &here,
                (headroom_away_pct, senders),
                now,
            );
            let permille = here
                .arriving
                .spill_permille(here.open, headroom_pct, &allowance)
                .min(left);
            left -= permille;
            let permille = (permille * own_excess)
                .checked_div(here_excess)
                .unwrap_or(0);
            if permille > 0 {
                spill.push(Spill {
                    region: index,
                    permille,
                });
            }
        }
        spill
    }

    /// Percent of their slots that other regions keep free when work is shifted to them.
    ///
    /// It is the target as long as there is a way to keep it. When the work here exceeds all slots
    /// of this region, half of it is given up: callers here would else wait for seconds while slots
    /// stay free elsewhere.
    fn headroom_away_pct(&self, config: &Config, service: &ServiceId, now: Now) -> u32 {
        let headroom_pct = headroom_of(config, service);
        let Some(state) = self.steering.services.get(service) else {
            return headroom_pct;
        };
        let here = self.own_region_sum(service, &state.flows, now);
        let is_over = here.arriving.milli_slots() > u64::from(here.open) * 1000;
        if is_over && here.open > 0 {
            headroom_pct / 2
        } else {
            headroom_pct
        }
    }

    /// Follows the room of one other region for this region's spill.
    fn allow(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
        estimate: &RegionEstimate,
        here: &Sum,
        (headroom_pct, senders): (u32, u32),
        now: Now,
    ) -> Allowance {
        let usable =
            estimate.admitting && !estimate.drained && estimate.freshness.allows_new_shift();
        let heard = self
            .steering
            .regions
            .others
            .get(&(service.clone(), region.clone()));
        let known_at = heard.map_or(now, |heard| heard.true_at);
        let known_at = known_at.saturating_sub(estimate.round_trip + TICK);
        let there = heard.filter(|_| usable).map(|heard| heard.sum);
        let there = there.unwrap_or_default();
        let Some(state) = self.steering.services.get_mut(service) else {
            return Allowance::default();
        };
        let away = state.flows.away(region, now);
        // What the other region carries, as far as is known here, holds what was shifted a round trip
        // before its word came. Were all that is shifted now added to the room that it told of, the
        // shift would grow past the room and then stop altogether, over and over.
        // Callers spread over the region's entries, so that all of them shift about alike.
        let shifting = away.shifting_at(known_at) * u64::from(here.entries);
        away.allowance.tick(
            &there.carrying,
            there.open,
            headroom_pct,
            &demand_of(shifting),
            senders,
        );
        away.allowance
    }
}

/// The largest headroom target of the service's classes.
fn headroom_of(config: &Config, service: &ServiceId) -> u32 {
    let classes = config.classes.iter();
    let of_service = classes.filter(|class| class.service == *service);
    let most = of_service.map(|class| u32::from(class.headroom_pct)).max();
    most.unwrap_or(0)
}

/// Allowance that holds nothing back.
fn boundless() -> Allowance {
    let mut allowance = Allowance::default();
    allowance.tick(&Demand::default(), u32::MAX, 0, &Demand::default(), 1);
    allowance
}
