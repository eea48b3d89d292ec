//! The incarnation of this process and its lease in the table.

use crate::process::control::Control;
use actix::Context;

impl Control {
    /// Claims the next incarnation by compare-and-set of the lease row; tries until it succeeds.
    pub(super) fn claim_incarnation(&mut self, ctx: &mut Context<Self>) {
        self.shared.claimed(1);
        self.read_list(ctx);
        self.read_head(ctx);
    }
}
