//! `drain`: starts, stops and shows drains.

use crate::{
    args::DrainArgs,
    command::change::{
        quoted,
        Pending, //
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
    let command = format!("drain {verb} {}", quoted(&target));
    let pending = Pending::new(context, &args.change, command);
    let request = DrainRequest {
        accept_id: pending.accept_id.clone(),
        author: context.author(),
        action,
        target: args.target.clone(),
    };
    let what = format!("{verb} of the drain of {target}");
    pending.run(&request, &what).await
}

/// A drain as all instances together see it.
#[derive(Default, Serialize)]
struct Total {
    /// Requests in flight by upstream.
    upstreams: BTreeMap<UpstreamId, u32>,
    /// Unfinished requests by drained instance.
    instances: BTreeMap<InstanceId, u64>,
    /// Instances that don't have the drain in force.
    not_in_force_at: Vec<InstanceId>,
}

#[derive(Serialize)]
struct Row {
    target: DrainTarget,
    #[serde(flatten)]
    total: Total,
}

#[derive(Serialize)]
struct Report {
    drains: Vec<Row>,
    /// Daemons that did not answer: what is in flight from them is not known.
    not_answered: Vec<String>,
}

/// Shows each drain with what is in flight there, added up over all instances.
pub(super) async fn status(context: &Context) -> Result<Output, Failure> {
    let everyone = context.client.known_daemons().await?;
    let answers = context
        .client
        .get_from_each::<Drains>(&everyone, "/op/v1/drain")
        .await;
    let mut totals: BTreeMap<DrainTarget, Total> = BTreeMap::new();
    let mut seen: BTreeMap<InstanceId, Drains> = BTreeMap::new();
    let mut not_answered = Vec::new();
    for (daemon, answer) in everyone.iter().zip(answers) {
        match answer {
            // A daemon may be known by two addresses; its requests count once.
            Ok(drains) => {
                let _ = seen.insert(drains.instance.clone(), drains);
            }
            Err(_) => not_answered.push(daemon.to_string()),
        }
    }
    for drain in seen.values().flat_map(|drains| &drains.drains) {
        totals.entry(drain.target.clone()).or_default();
    }
    for (target, total) in &mut totals {
        for drains in seen.values() {
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

impl Total {
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
        let upstreams = total.upstreams.iter().map(|(id, n)| (id, u64::from(*n)));
        let instances = total.instances.iter().map(|(id, n)| (id, *n));
        let busy: Vec<(&InstanceId, u64)> = upstreams.chain(instances).collect();
        if busy.iter().all(|(_, requests)| *requests == 0) {
            table.row(vec![target.to_string(), "all".into(), "0".into()]);
        }
        for (id, requests) in busy.into_iter().filter(|(_, requests)| *requests > 0) {
            table.row(vec![
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
        notes += &format!("did not answer, what they have in flight is not counted: {names}\n");
    }
    format!("{}{notes}", table.render())
}
