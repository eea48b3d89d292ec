//! Demand of organisations, and its form in messages.

use base::FastMap;
use bytes::{
    Buf,
    BufMut,
    Bytes,
    BytesMut, //
};
use serde::{
    Deserialize,
    Serialize, //
};

/// Hash of an organisation's name, truncated to keep messages small.
pub type DemandKey = u32;

/// Demand by organisation.
pub type Demands = FastMap<DemandKey, Demand>;

/// Demand of an organisation, added up over some entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Requests per second that callers ask for.
    pub per_s: f64,
    /// Requests admitted in the window over which quotas are counted.
    pub used: f64,
    /// Fraction of the limit that is reserved for entries that can't be reached.
    pub reserved: f64,
}

impl Demand {
    /// Adds the demand of other entries.
    pub(crate) fn add(&mut self, other: &Self) {
        self.per_s += other.per_s;
        self.used += other.used;
        self.reserved += other.reserved;
    }
}

/// Demands in a message, ten bytes each: the key and three numbers with their sign, exponent and seven bits of
/// fraction.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(transparent)]
pub(crate) struct PackedDemands(Bytes);

/// Bytes of one demand.
const PACKED_BYTES: usize = 10;

impl PackedDemands {
    fn pack<'a>(demands: impl Iterator<Item = (&'a DemandKey, &'a Coded)>) -> Self {
        let mut packed = BytesMut::new();
        for (key, coded) in demands {
            packed.put_u32(*key);
            for number in coded {
                packed.put_u16(*number);
            }
        }
        Self(packed.freeze())
    }

    /// Returns the demands in the message.
    fn unpack(&self) -> impl Iterator<Item = (DemandKey, Demand)> + '_ {
        self.0.chunks_exact(PACKED_BYTES).map(|mut word| {
            let key = word.get_u32();
            let demand = Demand {
                per_s: decode(word.get_u16()),
                used: decode(word.get_u16()),
                reserved: decode(word.get_u16()),
            };
            (key, demand)
        })
    }

    fn len_bytes(&self) -> usize {
        self.0.len()
    }
}

/// A message about the demand of some entries.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct DemandMessage {
    /// Number of entries that it covers.
    covered: u32,
    /// Whether it contains all demands, not only those that have changed.
    is_full: bool,
    demands: PackedDemands,
}

impl DemandMessage {
    /// Returns the size of the demands in bytes.
    pub fn len_bytes(&self) -> usize {
        self.demands.len_bytes()
    }
}

/// Demand of some entries, added up.
#[derive(Clone, Debug, Default)]
pub struct DemandSum {
    /// Number of entries that it covers.
    pub(crate) covered: u32,
    pub(crate) demands: Demands,
}

impl DemandSum {
    /// Applies a message from the entry that made the sum.
    pub(crate) fn apply(&mut self, message: &DemandMessage) {
        self.covered = message.covered;
        if message.is_full {
            self.demands.clear();
        }
        for (key, demand) in message.demands.unpack() {
            if demand == Demand::default() {
                self.demands.remove(&key);
            } else {
                self.demands.insert(key, demand);
            }
        }
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.covered = self.covered.saturating_add(other.covered);
        for (key, demand) in &other.demands {
            self.demands.entry(*key).or_default().add(demand);
        }
    }
}

/// The numbers of a demand as they are coded in messages.
type Coded = [u16; 3];

/// Code of a demand without requests.
const NONE: Coded = [0; 3];

/// Codes a demand.
fn code(demand: &Demand) -> Coded {
    [demand.per_s, demand.used, demand.reserved].map(encode)
}

/// Codes a number, rounded up so that the sum over entries is not too low.
fn encode(number: f64) -> u16 {
    let bits = (number.max(0.0) as f32).to_bits();
    u16::try_from(bits.saturating_add(0xffff) >> 16).unwrap_or(u16::MAX)
}

/// Decodes a number; one that is not valid counts as zero.
fn decode(code: u16) -> f64 {
    let number = f64::from(f32::from_bits(u32::from(code) << 16));
    if number.is_finite() && number > 0.0 {
        number
    } else {
        0.0
    }
}

/// Difference of codes up to which a change is not sent, in units of their fraction: a sixteenth.
const UNSENT_DIFFERENCE: u16 = 8;
/// Messages after which all demands are sent again, since a session whose send queue is full drops messages.
const FULL_EVERY: u32 = 32;

/// Returns whether a change of a code is not negligible. A change from or to zero never is.
fn differs(code: u16, sent: u16) -> bool {
    code.abs_diff(sent) > UNSENT_DIFFERENCE || ((code == 0) != (sent == 0))
}

/// Selects the demands that have changed since they were last sent on a session.
#[derive(Clone, Debug, Default)]
pub struct DemandSender {
    sent: FastMap<DemandKey, Coded>,
    /// Number of entries that the last message covered.
    covered: u32,
    messages: u32,
}

impl DemandSender {
    /// Returns the message about a sum; `None` if there is nothing to send.
    pub fn next(&mut self, sum: &DemandSum) -> Option<DemandMessage> {
        let DemandSum { covered, demands } = sum;
        let is_changed = std::mem::replace(&mut self.covered, *covered) != *covered;
        let is_full = self.messages % FULL_EVERY == 0;
        self.messages = self.messages.wrapping_add(1);
        let mut coded: FastMap<DemandKey, Coded> = demands
            .iter()
            .map(|(key, demand)| (*key, code(demand)))
            .filter(|(_, coded)| *coded != NONE)
            .collect();
        if is_full {
            let packed = PackedDemands::pack(coded.iter());
            self.sent = coded;
            return Some(DemandMessage {
                covered: *covered,
                is_full,
                demands: packed,
            });
        }
        for key in self.sent.keys() {
            coded.entry(*key).or_insert(NONE);
        }
        coded.retain(|key, code| {
            let sent = self.sent.get(key).copied().unwrap_or(NONE);
            std::iter::zip(*code, sent).any(|(code, sent)| differs(code, sent))
        });
        if coded.is_empty() && !is_changed {
            return None;
        }
        let packed = PackedDemands::pack(coded.iter());
        self.sent.extend(coded);
        self.sent.retain(|_, coded| *coded != NONE);
        Some(DemandMessage {
            covered: *covered,
            is_full,
            demands: packed,
        })
    }
}
