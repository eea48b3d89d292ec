//! Enforcement of this entry's parts of the quotas.

use crate::{
    bounds::QuotaBounds,
    demand::{
        Demand,
        DemandKey,
        Demands, //
    },
    exchange::{
        Part,
        Parts, //
    },
    quota::{
        demand_key,
        Quota, //
    },
};
use balance::{
    rendezvous_score,
    Window, //
};
use base::{
    FastMap,
    Now,
    OrganisationId, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use std::time::Duration;

/// Window over which demand is measured. Shorter ones vary too much for organisations with few requests.
const DEMAND_WINDOW: Duration = Duration::from_secs(2);
/// Fraction of a window's quota above which its organisation counts as saturated.
const SATURATED: f64 = 0.85;
/// Fraction of the margin that is added to that.
const SATURATED_MARGIN: f64 = 0.3;
/// Fraction of the margin at which nothing more is admitted in a window. The rest covers requests that are not known
/// to all entries yet.
const USABLE_MARGIN: f64 = 0.6;
/// Factor on an entry's part while the organisation is not saturated. It limits what is admitted of a rise before all
/// entries know of it.
const UNSATURATED_FACTOR: f64 = 2.0;
/// Minimum rate at which an entry admits requests meanwhile. Its share of a small organisation's limit would refuse
/// requests that happen to arrive at the same entry.
const UNSATURATED_PER_S_MIN: f64 = 1.0;
/// Requests that an entry admits at once meanwhile.
const BURST: f64 = 3.0;
/// The same while it can't follow the demand of the other entries.
const ISOLATED_BURST: f64 = 1.0;
/// Fraction of the margin that entries share by demand in addition to these.
const BURST_MARGIN: f64 = 0.3;
/// Mean time for which a caller stays away if the demand is twice the limit or more.
const EXCESS_DELAY: Duration = Duration::from_secs(1);
/// Step between the positions of refused callers in the time in which they return. Its multiples are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_75;
/// Minimum delay stated to a caller over the quota, about the round trip of a new attempt.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(50);
/// Maximum delay stated to a caller over the quota. Demand has usually changed by then.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(2);

/// How limits are divided among entries.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Division {
    /// By the demand and the use of all entries.
    #[default]
    ByDemand,
    /// Equally.
    Equal,
}

/// How requests of an organisation are admitted.
#[derive(Clone, Copy, Debug)]
enum Admission {
    /// From a token bucket.
    Bucket {
        /// Tokens per second.
        rate_per_s: f64,
        /// Maximum number of tokens.
        capacity: f64,
    },
    /// A fraction of all requests, while the organisation asks for more than its limit. Its requests are usually spread
    /// over so many entries that a bucket at each of them would often be empty when a request arrives, and full when
    /// none does.
    Fraction(f64),
}

/// State of one organisation.
#[derive(Clone, Debug)]
struct Account {
    quota: Quota,
    key: DemandKey,
    /// Requests that callers asked for, refused ones included.
    asked: Window,
    /// Requests that were admitted.
    used: Window,
    admission: Admission,
    tokens: f64,
    refilled_at: Now,
    /// Part of a request that is yet to be admitted.
    credit: f64,
    /// Position of the last refused caller in the time in which callers return, from 0 to 1.
    return_position: f64,
    admitted: u64,
    refused: u64,
}

impl Account {
    fn new(quota: Quota, key: DemandKey, window: Duration, credit: f64, now: Now) -> Self {
        Self {
            quota,
            key,
            asked: Window::new(DEMAND_WINDOW),
            used: Window::new(window),
            // The bucket is full once its capacity is known.
            admission: Admission::Bucket {
                rate_per_s: 0.0,
                capacity: f64::MAX,
            },
            tokens: f64::MAX,
            refilled_at: now,
            credit,
            return_position: credit,
            admitted: 0,
            refused: 0,
        }
    }

    fn refill(&mut self, now: Now) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = now.max(self.refilled_at);
        if let Admission::Bucket {
            rate_per_s,
            capacity,
        } = self.admission
        {
            let refilled = self.tokens + rate_per_s * elapsed.as_secs_f64();
            self.tokens = refilled.min(capacity);
        }
    }

    /// Takes one request. Returns whether it is admitted.
    fn try_take(&mut self, now: Now) -> bool {
        self.refill(now);
        let balance = match self.admission {
            Admission::Bucket { .. } => &mut self.tokens,
            Admission::Fraction(fraction) => {
                self.credit += fraction;
                &mut self.credit
            }
        };
        let is_admitted = *balance >= 1.0;
        if is_admitted {
            *balance -= 1.0;
        }
        is_admitted
    }

    /// Sets how requests are admitted, from this entry's part of the limit.
    fn set_part(&mut self, part: Part, parts: &Parts, bounds: &QuotaBounds, now: Now) {
        self.refill(now);
        let used = self.used.count_upper_bound(now) as f64;
        self.admission = admission(&self.quota, used, part, parts, bounds);
        if let Admission::Bucket { capacity, .. } = self.admission {
            self.tokens = self.tokens.min(capacity);
        }
    }

    /// Returns when a refused caller should return. Callers that are refused one after the other return at different
    /// times, since they would be refused again if they came together.
    fn retry_after(&mut self) -> Duration {
        let delay = match self.admission {
            Admission::Bucket { rate_per_s, .. } => {
                let wait_s = (1.0 - self.tokens) / rate_per_s;
                Duration::try_from_secs_f64(wait_s).unwrap_or(RETRY_AFTER_MAX)
            }
            Admission::Fraction(fraction) => {
                self.return_position = (self.return_position + GOLDEN_RATIO).fract();
                let excess = (1.0 / fraction - 1.0).min(1.0);
                EXCESS_DELAY.mul_f64(excess * (0.5 + self.return_position))
            }
        };
        delay.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

/// Returns how requests of an organisation are admitted by an entry that has admitted `own_used` in the last window.
fn admission(
    quota: &Quota,
    own_used: f64,
    part: Part,
    parts: &Parts,
    bounds: &QuotaBounds,
) -> Admission {
    let fleet = part.fleet;
    // Without any margin, only whole requests could be compared.
    let margin = bounds.margin(quota).max(1.0);
    let base = quota.rate_per_s * bounds.window.as_secs_f64();
    let usable_margin = margin * USABLE_MARGIN;
    let burst = part.fraction * margin * BURST_MARGIN;
    if !parts.current {
        let share = part.fraction.max(parts.equal);
        let own_margin = share * usable_margin + ISOLATED_BURST;
        return Admission::Bucket {
            rate_per_s: quota.rate_per_s * share * room(own_used, share * base, own_margin),
            capacity: ISOLATED_BURST + burst,
        };
    }
    // Entries that can't be reached are assumed to use all that is reserved for them.
    let reserved = fleet.reserved * base;
    let used = fleet.used + reserved;
    let asked = fleet.per_s * bounds.window.as_secs_f64() + reserved;
    if used.max(asked) <= base * SATURATED + margin * SATURATED_MARGIN {
        let fraction = part.fraction.max(parts.equal) * UNSATURATED_FACTOR;
        let rate_per_s = quota.rate_per_s * fraction.min(1.0);
        return Admission::Bucket {
            rate_per_s: rate_per_s.max(UNSATURATED_PER_S_MIN),
            capacity: BURST + burst,
        };
    }
    let room = room(used, base, usable_margin);
    let available_per_s = quota.rate_per_s * (1.0 - fleet.reserved).max(0.0) * room;
    Admission::Fraction((available_per_s / fleet.per_s).min(1.0))
}

/// Returns the fraction of the rate that may be admitted after a window with `used` requests. It falls from one, if they
/// were `base` or fewer, to zero, if they used up the margin.
fn room(used: f64, base: f64, margin: f64) -> f64 {
    ((base + margin - used) / margin).clamp(0.0, 1.0)
}

/// Limits the requests of each organisation that this entry passes to upstreams.
#[derive(Clone, Debug)]
pub struct Limiter {
    bounds: QuotaBounds,
    division: Division,
    /// Differs between entries, so that they don't all refuse the first request.
    credit_seed: u64,
    parts: Parts,
    accounts: FastMap<OrganisationId, Account>,
}

impl Limiter {
    /// Creates a limiter without organisations; `credit_seed` differs between entries.
    pub fn new(bounds: QuotaBounds, credit_seed: u64) -> Self {
        Self::with_division(bounds, credit_seed, Division::default())
    }

    /// Creates a limiter without organisations that divides limits in this way.
    pub fn with_division(bounds: QuotaBounds, credit_seed: u64, division: Division) -> Self {
        Self {
            bounds,
            division,
            credit_seed,
            parts: Parts::default(),
            accounts: FastMap::default(),
        }
    }

    /// Sets the margin within which quotas are kept.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Replaces the organisations. The state of those that remain is kept.
    pub fn set_quotas<'a>(
        &mut self,
        quotas: impl Iterator<Item = (&'a OrganisationId, Quota)>,
        now: Now,
    ) {
        let mut before = std::mem::take(&mut self.accounts);
        for (organisation, quota) in quotas.filter(|(_, quota)| quota.is_limited()) {
            let known = before.remove(organisation);
            let mut account = known.unwrap_or_else(|| {
                let key = demand_key(organisation);
                let credit = credit(self.credit_seed, key);
                Account::new(quota, key, self.bounds.window, credit, now)
            });
            account.quota = quota;
            self.accounts.insert(organisation.clone(), account);
        }
        self.apply_parts(now);
    }

    /// Sets the parts of the quotas that this entry may use.
    pub fn set_parts(&mut self, parts: Parts, now: Now) {
        self.parts = parts;
        self.apply_parts(now);
    }

    fn apply_parts(&mut self, now: Now) {
        for account in self.accounts.values_mut() {
            if self.division == Division::Equal {
                account.admission = Admission::Bucket {
                    rate_per_s: account.quota.rate_per_s * self.parts.equal,
                    capacity: BURST,
                };
                account.tokens = account.tokens.min(BURST);
                continue;
            }
            let part = self.parts.by_key.get(&account.key);
            let part = part.copied().unwrap_or_default();
            account.set_part(part, &self.parts, &self.bounds, now);
        }
    }

    /// Counts a request of an organisation, and takes it from the quota.
    ///
    /// # Errors
    ///
    /// The quota is used up; the error is the time after which there will be room.
    pub fn try_take(&mut self, organisation: &str, now: Now) -> Result<(), Duration> {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return Ok(());
        };
        account.asked.add(1, now);
        if account.try_take(now) {
            account.used.add(1, now);
            account.admitted += 1;
            return Ok(());
        }
        account.refused += 1;
        Err(account.retry_after())
    }

    /// Gives back what a request has taken that did not run.
    pub fn refund(&mut self, organisation: &str, now: Now) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.refill(now);
            match account.admission {
                Admission::Bucket { capacity, .. } => {
                    account.tokens = (account.tokens + 1.0).min(capacity);
                }
                Admission::Fraction(_) => account.credit = (account.credit + 1.0).min(1.0),
            }
        }
    }

    /// Returns the demand of this entry's callers.
    pub fn demands(&mut self, now: Now) -> Demands {
        let mut demands = Demands::default();
        for account in self.accounts.values_mut() {
            let asked = account.asked.count_upper_bound(now) as f64;
            let demand = Demand {
                per_s: asked / DEMAND_WINDOW.as_secs_f64(),
                used: account.used.count_upper_bound(now) as f64,
                reserved: 0.0,
            };
            if demand != Demand::default() {
                demands.entry(account.key).or_default().add(&demand);
            }
        }
        demands
    }

    /// Returns the state of each limited organisation, for operators.
    pub fn usage(&self) -> Vec<Usage> {
        let mut usage: Vec<Usage> = self
            .accounts
            .iter()
            .map(|(organisation, account)| {
                let part = self.parts.by_key.get(&account.key);
                let part = part.copied().unwrap_or_default();
                Usage {
                    organisation: organisation.clone(),
                    quota: account.quota,
                    fraction: part.fraction,
                    fleet_per_s: part.fleet.per_s,
                    admitted: account.admitted,
                    refused: account.refused,
                }
            })
            .collect();
        usage.sort_by(|a, b| a.organisation.cmp(&b.organisation));
        usage
    }
}

/// Returns the initial credit of an account, from 0 to 1.
fn credit(seed: u64, key: DemandKey) -> f64 {
    let hash = rendezvous_score(u64::from(key), seed);
    hash as f64 / u64::MAX as f64
}

/// Use of one organisation's quota at one entry.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Name of the organisation.
    pub organisation: OrganisationId,
    /// Its quota.
    pub quota: Quota,
    /// Fraction of the quota that the entry may use by itself.
    pub fraction: f64,
    /// Requests per second that the callers of all entries ask for, as far as the entry knows.
    pub fleet_per_s: f64,
    /// Requests that the entry has admitted.
    pub admitted: u64,
    /// Requests that the entry has refused.
    pub refused: u64,
}
