//! Headroom targets and traffic caps of the configuration, with which the report compares a run.

use base::{
    RegionId,
    ServiceId, //
};
use conf::Findings;
use std::collections::BTreeMap;

/// Headroom targets and traffic caps.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Limits {
    /// Share of a service's slots that should stay free in each region, in percent. If several
    /// classes use the service, their lowest target applies.
    pub headroom_pct: BTreeMap<ServiceId, u8>,
    /// Bytes per second that one region may send to another.
    pub caps_bytes_per_s: BTreeMap<(RegionId, RegionId), u64>,
}

impl Limits {
    /// Reads the limits from the operators' configuration; `file` names it in findings.
    ///
    /// # Errors
    ///
    /// All findings with their positions.
    pub fn read(file: &str, text: &str) -> Result<Self, Findings> {
        let config = spec::parse(file, text)?;
        let mut limits = Self::default();
        for class in config.classes {
            let pct = limits.headroom_pct.entry(class.service);
            let pct = pct.or_insert(class.headroom_pct);
            *pct = class.headroom_pct.min(*pct);
        }
        for cap in config.caps {
            let pair = (cap.from, cap.to);
            limits.caps_bytes_per_s.insert(pair, cap.bytes_per_s);
        }
        Ok(limits)
    }
}
