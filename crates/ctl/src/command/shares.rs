//! `shares`: how the slots and the link caps of each pool are shared among instances.

use crate::{
    context::Context,
    outcome::{
        Failure,
        Output, //
    },
    table::Table,
};
use op::Shares;

/// Shows a daemon's share of each pool.
pub(super) async fn run(context: &Context) -> Result<Output, Failure> {
    let shares: Shares = context.client.get("/op/v1/shares").await?;
    let mut table = Table::new(&[
        "pool", "epoch", "members", "settled", "resource", "capacity", "allotted", "held",
        "usable", "used",
    ]);
    for pool in &shares.pools {
        for resource in &pool.resources {
            table.add_row(vec![
                pool.pool.to_string(),
                pool.epoch.to_string(),
                pool.members.len().to_string(),
                if pool.settled { "yes" } else { "no" }.to_owned(),
                resource.resource.to_string(),
                resource.capacity.to_string(),
                resource.allotted.to_string(),
                resource.held.to_string(),
                resource.usable.to_string(),
                resource.used.to_string(),
            ]);
        }
    }
    let text = format!(
        "{}: the whole allotment may be used for {} ms more\n{}",
        shares.instance,
        shares.protected_ms,
        table.render()
    );
    Ok(Output::new(text, &shares))
}
