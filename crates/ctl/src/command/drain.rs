//! `drain`: starts, stops and shows drains.

use crate::{
    args::DrainArgs,
    command::change::{
        shell_quote,
        PendingChange, //
    },
    context::Context,
    outcome::{
        Failure,
        Output, //
    },
    table::Table,
};
use base::{
    InstanceId,
    UpstreamId, //
};
use op::{
    DrainAction,
    DrainRequest,
    DrainStatus,
    Drains, //
};
use serde::Serialize;
use spec::DrainTarget;
use std::collections::BTreeMap;

/// Starts or stops a drain.
pub(super) async fn change(
    context: &Context,
    action: DrainAction,
    args: &DrainArgs,
) -> Result<Output, Failure> {
    let verb = match action {
        DrainAction::Start => "start",
        DrainAction::Stop => "stop",
    };
    let target = args.target.to_string();
    let command = format!("drain {verb} {}", shell_quote(&target));
    let pending = PendingChange::new(context, &args.change, command);
    let request = DrainRequest {
        accept_id: pending.accept_id.clone(),
        author: context.author(),
        action,
        target: args.target.clone(),
    };
    let subject = format!("{verb} of the drain of {target}");
    pending.run(&request, &subject).await
}

/// Work left under a drain, added up over all instances.
#[derive(Default, Serialize)]
struct DrainTotal {
    /// Requests in flight by upstream.
    upstreams: BTreeMap<UpstreamId, u32>,
    /// Unfinished requests by drained instance.
    instances: BTreeMap<InstanceId, u64>,
    /// Instances that do not have the drain in force.
    not_in_force_at: Vec<InstanceId>,
}

#[derive(Serialize)]
struct Row {
    target: DrainTarget,
    #[serde(flatten)]
    total: DrainTotal,
}

#[derive(Serialize)]
struct Report {
    drains: Vec<Row>,
    /// Daemons that did not answer; their requests in flight are unknown.
    not_answered: Vec<String>,
}

/// Shows each drain with the requests in flight at its target, added up over all instances.
pub(super) async fn status(context: &Context) -> Result<Output, Failure> {
    let daemons = context.client.known_daemons().await?;
    let responses = context
        .client
        .get_from_each::<Drains>(&daemons, "/op/v1/drain")
        .await;
    let mut totals: BTreeMap<DrainTarget, DrainTotal> = BTreeMap::new();
    let mut drains_by_instance: BTreeMap<InstanceId, Drains> = BTreeMap::new();
    let mut not_answered = Vec::new();
    for (daemon, response) in daemons.iter().zip(responses) {
        match response {
            // A daemon may be known by two addresses; its requests are counted once.
            Ok(drains) => {
                let _ = drains_by_instance.insert(drains.instance.clone(), drains);
            }
            Err(_) => not_answered.push(daemon.to_string()),
        }
    }
    for drain in drains_by_instance
        .values()
        .flat_map(|drains| &drains.drains)
    {
        totals.entry(drain.target.clone()).or_default();
    }
    for (target, total) in &mut totals {
        for drains in drains_by_instance.values() {
            let drain = drains.drains.iter().find(|drain| drain.target == *target);
            match drain {
                Some(drain) => total.add(&drains.instance, drain),
                None => total.not_in_force_at.push(drains.instance.clone()),
            }
        }
    }
    let rows = totals.into_iter();
    let report = Report {
        drains: rows.map(|(target, total)| Row { target, total }).collect(),
        not_answered,
    };
    Ok(Output::new(describe(&report), &report))
}

impl DrainTotal {
    fn add(&mut self, instance: &InstanceId, drain: &DrainStatus) {
        for in_flight in &drain.in_flight {
            let upstream = in_flight.upstream.clone();
            *self.upstreams.entry(upstream).or_default() += in_flight.requests;
        }
        if let Some(active) = drain.active {
            self.instances.insert(instance.clone(), active);
        }
    }
}

fn describe(report: &Report) -> String {
    let mut table = Table::new(&["target", "where", "in flight"]);
    let mut notes = String::new();
    for Row { target, total } in &report.drains {
        let upstreams = total
            .upstreams
            .iter()
            .map(|(id, requests)| (id, u64::from(*requests)));
        let instances = total.instances.iter().map(|(id, requests)| (id, *requests));
        let in_flight: Vec<(&InstanceId, u64)> = upstreams.chain(instances).collect();
        if in_flight.iter().all(|(_, requests)| *requests == 0) {
            table.add_row(vec![target.to_string(), "all".into(), "0".into()]);
        }
        for (id, requests) in in_flight.into_iter().filter(|(_, requests)| *requests > 0) {
            table.add_row(vec![
                target.to_string(),
                id.to_string(),
                requests.to_string(),
            ]);
        }
        if !total.not_in_force_at.is_empty() {
            let names: Vec<&str> = total.not_in_force_at.iter().map(|id| &**id).collect();
            notes += &format!("{target} is not in force yet at: {}\n", names.join(", "));
        }
    }
    if !report.not_answered.is_empty() {
        let names = report.not_answered.join(", ");
        notes += &format!("did not answer, their requests in flight are not counted: {names}\n");
    }
    format!("{}{notes}", table.render())
}
