//! Steering: slow start and suspicion of upstreams, and what other regions say of themselves.

use crate::process::control::Control;
use actix::Context;
use base::{
    InstanceId,
    Now, //
};
use peer::RegionSummary;

/// State machines of steering.
#[derive(Debug, Default)]
pub(super) struct Steering {}

impl Control {
    /// Reads the upstreams' own word about their load.
    pub(super) fn read_loads(&mut self, _ctx: &mut Context<Self>) {}

    /// Feeds what traffic threads saw to the state machines.
    pub(super) fn tick_steering(&mut self) {}

    /// What this daemon says of its own region.
    pub(super) fn region_summaries(&self, _same_region: bool) -> Vec<RegionSummary> {
        Vec::new()
    }

    /// Takes what another daemon says of its region.
    pub(super) fn on_region_summaries(
        &mut self,
        _from: &InstanceId,
        _summaries: &[RegionSummary],
        _now: Now,
    ) {
    }
}
