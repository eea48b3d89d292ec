//! `status` and `instances`: a daemon's view of the system.

use crate::{
    args::Format,
    context::Context,
    outcome::{
        print_stderr,
        Failure,
        Output, //
    },
    table::Table,
};
use op::{
    InstanceStatus,
    Instances,
    PoolStatus,
    Status, //
};
use std::{
    io::{
        stdout,
        IsTerminal,
        Write, //
    },
    time::Duration, //
};

/// Moves a terminal's cursor home and clears the screen.
const CLEAR: &str = "\x1b[H\x1b[2J";

/// Shows the status once, or repeatedly every `interval_s`.
pub(super) async fn run(
    context: &Context,
    watch: bool,
    interval_s: u64,
) -> Result<Output, Failure> {
    if !watch {
        return fetch_status(context).await;
    }
    let format = context.global.output;
    // The first failure ends the command: a wrong address or key would fail again.
    let mut result = Ok(fetch_status(context).await?);
    loop {
        if format == Format::Text && stdout().is_terminal() {
            // Ignored: the print below would fail as well.
            let _ = write!(stdout(), "{CLEAR}");
        }
        match result {
            Ok(output) => {
                if output.print(format).is_err() {
                    return Ok(output);
                }
            }
            // Later failures do not end the watch, which may be meant to observe a daemon's stop.
            Err(failure) => print_stderr(&Failure::to_string(&failure)),
        }
        actix_rt::time::sleep(Duration::from_secs(interval_s.max(1))).await;
        result = fetch_status(context).await;
    }
}

async fn fetch_status(context: &Context) -> Result<Output, Failure> {
    let status: Status = context.client.get("/op/v1/status").await?;
    let Status {
        instance,
        incarnation,
        region,
        failure_domain,
        stage,
        version,
        highest_version,
        ..
    } = &status;
    let mut text = format!(
        "{instance}#{incarnation} in {region}/{failure_domain}: {stage}, version {version}"
    );
    if highest_version > version {
        text += &format!(" (highest known {highest_version})");
    }
    text += &format!(
        "\nup {} s, lease {} ms, {} requests active, {} peers\n\n{}\n{}",
        status.uptime_ms / 1000,
        status.lease_left_ms,
        status.active,
        status.peers,
        render_pools(&status.pools),
        render_instances(&status.instances, *version),
    );
    Ok(Output::new(text, &status))
}

/// Lists the instances that a daemon knows.
pub(super) async fn instances(context: &Context) -> Result<Output, Failure> {
    let response: Instances = context.client.get("/op/v1/instances").await?;
    let highest = response.instances.iter().map(|i| i.version).max();
    let text = render_instances(&response.instances, highest.unwrap_or(0));
    Ok(Output::new(text, &response))
}

fn render_pools(pools: &[PoolStatus]) -> String {
    let mut table = Table::new(&["service", "upstreams", "open", "slots", "used", "waiting"]);
    for pool in pools {
        table.add_row(vec![
            pool.service.to_string(),
            pool.upstreams.to_string(),
            pool.open.to_string(),
            pool.slots.usable.to_string(),
            pool.slots.used.to_string(),
            pool.waiting.to_string(),
        ]);
    }
    table.render()
}

fn render_instances(instances: &[InstanceStatus], expected_version: u64) -> String {
    let mut table = Table::new(&[
        "instance",
        "region",
        "domain",
        "life",
        "state",
        "version",
        "news",
        "age",
        "operators",
    ]);
    for instance in instances {
        let lag = if instance.version < expected_version {
            "*"
        } else {
            ""
        };
        let age = instance.age_ms.map(|age_ms| format!("{age_ms} ms"));
        table.add_row(vec![
            instance.instance.to_string(),
            instance.region.to_string(),
            instance.failure_domain.to_string(),
            instance.incarnation.to_string(),
            instance.state.to_string(),
            format!("{}{lag}", instance.version),
            format!("{:?}", instance.freshness).to_lowercase(),
            age.unwrap_or_else(|| "-".to_owned()),
            instance.operator_addr.to_string(),
        ]);
    }
    table.render()
}
