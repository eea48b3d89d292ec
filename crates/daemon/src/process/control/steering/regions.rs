//! Load summaries sent to and received from other daemons, and the outlook derived from them.
//!
//! Within a region each daemon reports its own part. Other regions receive the sum over all known
//! parts, so that traffic between regions does not grow with their number of entries.

use crate::{
    process::control::{
        steering::flows::Flows,
        Control,
        TICK, //
    },
    version::{
        ClassPlacementInputs,
        Flow,
        HandoverCounter,
        PlacementInputs,
        Sibling,
        Spill,
        DEFAULT_ROUND_TRIP, //
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

/// Age beyond which the part of another daemon in this region is ignored.
const PART_MAX_AGE: Duration = Duration::from_secs(10);
/// Own demand scaled to all entries, in percent of the reported demand, above which a burst is
/// assumed; it exceeds random variation.
const BURST_PCT: u64 = 130;
/// Interval over which a synthetic demand arrives; see [`demand_of`].
const DEMAND_INTERVAL: Duration = Duration::from_secs(1);

/// Load reports received from other daemons.
#[derive(Debug, Default)]
pub(super) struct Regions {
    /// Parts of this region, by daemon.
    parts: BTreeMap<(ServiceId, InstanceId), Report>,
    /// Totals of other regions.
    other_regions: BTreeMap<(ServiceId, RegionId), Report>,
    round_trips: BTreeMap<RegionId, Duration>,
    /// Requests handed to other daemons of this region.
    handed: BTreeMap<(ServiceId, InstanceId), Arc<HandoverCounter>>,
}

/// A received summary, and the time at which it was valid.
#[derive(Clone, Copy, Debug)]
struct Report {
    sum: LoadSum,
    as_of: Now,
}

/// Load of one service in one region, or of a part of it.
#[derive(Clone, Copy, Debug, Default)]
struct LoadSum {
    arriving: Demand,
    carrying: Demand,
    open: u32,
    in_use: u32,
    service_time: Duration,
    entries: u32,
}

impl LoadSum {
    fn of(flows: &Flows) -> Self {
        Self {
            arriving: demand_of(flows.arriving.milli_slots() + flows.backlog_milli_slots),
            carrying: flows.carrying,
            open: flows.capacity.open,
            in_use: flows.capacity.in_flight,
            service_time: flows.expected(),
            entries: 1,
        }
    }

    fn from_summary(summary: &RegionSummary) -> Self {
        Self {
            arriving: demand_of(summary.arriving_milli_slots),
            carrying: demand_of(summary.carrying_milli_slots),
            open: saturating_u32(summary.slots),
            in_use: saturating_u32(summary.in_use),
            service_time: Duration::from_micros(summary.latency_us),
            entries: 1,
        }
    }

    fn add(&mut self, other: &Self) {
        self.arriving.add(&other.arriving);
        self.carrying.add(&other.carrying);
        self.open = self.open.saturating_add(other.open);
        self.in_use = self.in_use.saturating_add(other.in_use);
        self.service_time = self.service_time.max(other.service_time);
        self.entries += other.entries;
    }

    /// Extrapolates the own demand to the region once it is far above the reported demand.
    ///
    /// Reports of other entries lag by a heartbeat or two, while the queues of a burst grow.
    /// Callers spread over the region's entries, so a burst shows at all of them at once.
    fn extrapolate_burst(&mut self, own: &Demand) {
        let typical = own.milli_slots() * u64::from(self.entries);
        if typical > self.arriving.milli_slots() / 100 * BURST_PCT {
            self.arriving = demand_of(typical);
        }
    }

    fn summarize(&self, region: &RegionId, service: &ServiceId) -> RegionSummary {
        RegionSummary {
            region: region.clone(),
            service: service.clone(),
            slots: u64::from(self.open),
            in_use: u64::from(self.in_use),
            latency_us: u64::try_from(self.service_time.as_micros()).unwrap_or(u64::MAX),
            age_ms: 0,
            arriving_milli_slots: self.arriving.milli_slots(),
            carrying_milli_slots: self.carrying.milli_slots(),
        }
    }
}

/// Creates a demand of `milli_slots` thousandths of a slot.
fn demand_of(milli_slots: u64) -> Demand {
    let mut demand = Demand::default();
    demand.tick(
        DEMAND_INTERVAL,
        saturating_u32(milli_slots),
        Duration::from_millis(1),
    );
    demand
}

fn saturating_u32(number: u64) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

impl Control {
    /// Summaries of this region's load, or of this entry's part for daemons in the same region.
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
                    LoadSum::of(&service.flows)
                } else {
                    self.own_region_sum(id, &service.flows, now)
                };
                sum.summarize(region, id)
            })
            .collect()
    }

    /// Records the load summaries of another daemon's region.
    pub(in crate::process::control) fn on_region_summaries(
        &mut self,
        from: &InstanceId,
        summaries: &[RegionSummary],
        now: Now,
    ) {
        let own = &self.shared.settings.region;
        let Some(facts) = self.membership_view.instance(from) else {
            return;
        };
        let region = facts.identity.region.clone();
        let regions = &mut self.steering.regions;
        for summary in summaries.iter().filter(|summary| summary.region == region) {
            let report = Report {
                sum: LoadSum::from_summary(summary),
                as_of: now.saturating_sub(Duration::from_millis(summary.age_ms)),
            };
            let service = summary.service.clone();
            if region == *own {
                regions.parts.insert((service, from.clone()), report);
            } else {
                regions
                    .other_regions
                    .insert((service, region.clone()), report);
            }
        }
    }

    /// Load of one service in this region: the sum of this entry's part and those of the others.
    fn own_region_sum(&self, service: &ServiceId, flows: &Flows, now: Now) -> LoadSum {
        let mut sum = LoadSum::of(flows);
        let parts = self.steering.regions.parts.iter();
        for (_, report) in parts.filter(|((of, _), _)| of == service) {
            if now.saturating_sub(report.as_of) < PART_MAX_AGE {
                sum.add(&report.sum);
            }
        }
        sum
    }

    /// Computes and publishes the estimates for each region.
    pub(super) fn tick_regions(&mut self, now: Now) {
        let Some((version, config)) = self.config.clone() else {
            return;
        };
        let Regions { parts, handed, .. } = &mut self.steering.regions;
        parts.retain(|_, report| now.saturating_sub(report.as_of) < PART_MAX_AGE);
        handed.retain(|key, _| parts.contains_key(key));
        self.update_round_trips();
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
            .store(Arc::new(PlacementInputs { version, classes }));
    }

    /// Updates round trips to other regions from the sessions' measurements.
    fn update_round_trips(&mut self) {
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
        self.steering.regions.round_trips.extend(least);
    }

    fn service_outlook(
        &mut self,
        config: &Config,
        service: &ServiceId,
        admitting: &[bool],
        now: Now,
    ) -> ClassPlacementInputs {
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
                .map(|region| Arc::clone(&state.flows.outflow(&region.id, now).flow))
                .collect(),
            None => Vec::new(),
        };
        debug_assert!(config.regions.iter().any(|region| region.id == own) || spill.is_empty());
        ClassPlacementInputs {
            estimates,
            remote_headroom_pct: headroom_away_pct,
            spill,
            flows,
            siblings: self.siblings(service, now),
        }
    }

    /// Other entries of this region with fresh reports.
    fn siblings(&mut self, service: &ServiceId, now: Now) -> Vec<Sibling> {
        let Regions { parts, handed, .. } = &mut self.steering.regions;
        let fresh = parts.iter().filter(|((of, _), report)| {
            let age = now.saturating_sub(report.as_of);
            of == service && Freshness::of_age(age, &FreshnessLimits::default()).allows_new_shift()
        });
        let siblings = fresh.map(|(key, report)| Sibling {
            instance: key.1.clone(),
            reported_milli_slots: report.sum.arriving.milli_slots(),
            open_slots: report.sum.open,
            handovers: Arc::clone(handed.entry(key.clone()).or_default()),
        });
        siblings.collect()
    }

    /// Estimate for `region`; the caller fills in `admitting` and `drained`.
    fn estimate(&self, service: &ServiceId, region: &RegionId, now: Now) -> RegionEstimate {
        let regions = &self.steering.regions;
        let own = *region == self.shared.settings.region;
        let report = regions
            .other_regions
            .get(&(service.clone(), region.clone()));
        let unknown = RegionEstimate {
            wait: Duration::ZERO,
            service_time: Duration::ZERO,
            round_trip: if own {
                Duration::ZERO
            } else {
                regions
                    .round_trips
                    .get(region)
                    .copied()
                    .unwrap_or(DEFAULT_ROUND_TRIP)
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
        let Some(report) = report else {
            return unknown;
        };
        let age = now.saturating_sub(report.as_of);
        RegionEstimate {
            service_time: report.sum.service_time,
            headroom_left_pct: report.sum.carrying.headroom_left_pct(report.sum.open),
            freshness: Freshness::of_age(age, &FreshnessLimits::default()),
            ..unknown
        }
    }

    /// Fractions of arriving work that exceed the local headroom, by target region.
    ///
    /// The region with the lowest expected latency comes first; what it can't take goes to the
    /// next.
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
        let own_part = LoadSum::of(flows);
        here.extrapolate_burst(&own_part.arriving);
        let headroom_pct = headroom_target_pct(config, service);
        let senders = u32::try_from(config.regions.len().saturating_sub(1)).unwrap_or(1);
        let own = self.shared.settings.region.clone();
        let mut order: Vec<usize> = (0..estimates.len())
            .filter(|&index| config.regions[index].id != own)
            .collect();
        order.sort_by_key(|&index| (estimates[index].expected_latency(), index));
        let mut left =
            here.arriving
                .spill_permille(here.open, headroom_pct, &unlimited_allowance());
        let here_excess = left;
        // Slots are not distributed evenly at each moment: the entry with the fewest slots for its
        // work shifts the most. Otherwise its queue would grow while others have none.
        let own_excess =
            own_part
                .arriving
                .spill_permille(own_part.open, headroom_pct, &unlimited_allowance());
        let mut spill = Vec::new();
        for index in order {
            let region = &config.regions[index].id;
            let allowance = self.update_allowance(
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

    /// Percentage of slots that other regions keep free when work is shifted to them.
    ///
    /// This is the headroom target while it can be met. When the demand here exceeds all slots of
    /// this region, it is halved: otherwise callers here would wait for seconds while slots
    /// elsewhere stay free.
    fn headroom_away_pct(&self, config: &Config, service: &ServiceId, now: Now) -> u32 {
        let headroom_pct = headroom_target_pct(config, service);
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

    /// Updates the allowance for this region's shift to one other region from that region's free
    /// capacity.
    fn update_allowance(
        &mut self,
        service: &ServiceId,
        region: &RegionId,
        estimate: &RegionEstimate,
        here: &LoadSum,
        (headroom_pct, senders): (u32, u32),
        now: Now,
    ) -> Allowance {
        let usable =
            estimate.admitting && !estimate.drained && estimate.freshness.allows_new_shift();
        let report = self
            .steering
            .regions
            .other_regions
            .get(&(service.clone(), region.clone()));
        let reported_as_of = report.map_or(now, |report| report.as_of);
        let reported_as_of = reported_as_of.saturating_sub(estimate.round_trip + TICK);
        let there = report.filter(|_| usable).map(|report| report.sum);
        let there = there.unwrap_or_default();
        let Some(state) = self.steering.services.get_mut(service) else {
            return Allowance::default();
        };
        let outflow = state.flows.outflow(region, now);
        // The reported load of the other region already includes what was shifted one round trip
        // before the report. If all work shifted now were added to the reported free capacity, the
        // shift would exceed that capacity and then stop altogether, in an endless oscillation.
        // Callers spread over the region's entries, so all of them shift about equally.
        let shifting = outflow.shifting_at(reported_as_of) * u64::from(here.entries);
        outflow.allowance.tick(
            &there.carrying,
            there.open,
            headroom_pct,
            &demand_of(shifting),
            senders,
        );
        outflow.allowance
    }
}

/// Largest headroom target of the service's classes.
fn headroom_target_pct(config: &Config, service: &ServiceId) -> u32 {
    let classes = config.classes.iter();
    let of_service = classes.filter(|class| class.service == *service);
    let most = of_service.map(|class| u32::from(class.headroom_pct)).max();
    most.unwrap_or(0)
}

/// An unlimited allowance.
fn unlimited_allowance() -> Allowance {
    let mut allowance = Allowance::default();
    allowance.tick(&Demand::default(), u32::MAX, 0, &Demand::default(), 1);
    allowance
}
