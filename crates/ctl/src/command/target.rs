//! `target`: shows and changes the targets of classes.

use crate::{
    args::TargetArgs,
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
use op::{
    ConfigResponse,
    TargetRequest, //
};
use serde_json::{
    json,
    Value, //
};
use spec::Class;

/// Shows the targets in force.
pub(super) async fn show(context: &Context, class: Option<String>) -> Result<Output, Failure> {
    let response: ConfigResponse = context.client.get("/op/v1/config").await?;
    let version = response.head.version;
    let config = spec::parse(&format!("version {version}"), &response.text);
    let config = config.map_err(|findings| Failure::Refused(findings.to_string()))?;
    let is_selected =
        |candidate: &&Class| class.as_ref().is_none_or(|id| candidate.id == id.as_str());
    let classes: Vec<&Class> = config.classes.iter().filter(is_selected).collect();
    if let (Some(class), true) = (&class, classes.is_empty()) {
        let known: Vec<&str> = config.classes.iter().map(|class| &*class.id).collect();
        return Err(Failure::BadInput(format!(
            "no class `{class}` in version {version}, there are: {}",
            known.join(", ")
        )));
    }
    let mut table = Table::new(&[
        "class", "latency", "headroom", "deadline", "priority", "success",
    ]);
    for class in &classes {
        table.add_row(vec![
            class.id.to_string(),
            format!("{} ms", class.latency_target.as_millis()),
            format!("{}%", class.headroom_pct),
            format!("{} ms", class.deadline.as_millis()),
            class.priority.to_string(),
            format!("{}%", format_percentage(class.success_target_ppm)),
        ]);
    }
    let text = format!("version {version}\n{}", table.render());
    let classes: Vec<Value> = classes.into_iter().map(to_json).collect();
    Ok(Output::new(
        text,
        &json!({"version": version, "classes": classes}),
    ))
}

fn to_json(class: &Class) -> Value {
    json!({
        "class": class.id,
        "latency_ms": class.latency_target.as_millis() as u64,
        "headroom_pct": class.headroom_pct,
        "deadline_ms": class.deadline.as_millis() as u64,
        "priority": class.priority,
        "success_target_ppm": class.success_target_ppm,
    })
}

/// Changes targets of a class.
pub(super) async fn set(context: &Context, args: &TargetArgs) -> Result<Output, Failure> {
    let options = format_options(args);
    if options.is_empty() {
        return Err(Failure::BadInput(
            "nothing to set: name at least one target, see --help".to_owned(),
        ));
    }
    let command = format!("target set {}{options}", shell_quote(&args.class));
    let pending = PendingChange::new(context, &args.change, command);
    let request = TargetRequest {
        accept_id: pending.accept_id.clone(),
        author: context.author(),
        class: args.class.clone(),
        latency_ms: args.latency_ms,
        headroom_pct: args.headroom_pct,
        deadline_ms: args.deadline_ms,
        priority: args.priority,
        success_target_ppm: args.success_pct.map(|ppm| ppm.0),
    };
    let subject = format!("targets of {}", args.class);
    pending.run(&request, &subject).await
}

/// Target options in their command-line form, without those that were not given.
fn format_options(args: &TargetArgs) -> String {
    let success = args.success_pct.map(|ppm| format_percentage(ppm.0));
    [
        ("latency-ms", args.latency_ms.map(|v| v.to_string())),
        ("headroom-pct", args.headroom_pct.map(|v| v.to_string())),
        ("deadline-ms", args.deadline_ms.map(|v| v.to_string())),
        ("priority", args.priority.map(|v| v.to_string())),
        ("success-pct", success),
    ]
    .into_iter()
    .filter_map(|(name, value)| value.map(|value| format!(" --{name} {value}")))
    .collect()
}

/// Formats parts per million as a percentage without trailing zeros.
fn format_percentage(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
