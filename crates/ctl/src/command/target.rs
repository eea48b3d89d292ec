//! `target`: shows and revises the targets of classes.

use crate::{
    args::TargetArgs,
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
use op::{
    ConfigAnswer,
    TargetRequest, //
};
use serde_json::{
    json,
    Value, //
};
use spec::Class;

/// Shows the targets in force.
pub(super) async fn show(context: &Context, class: Option<String>) -> Result<Output, Failure> {
    let answer: ConfigAnswer = context.client.get("/op/v1/config").await?;
    let version = answer.head.version;
    let config = spec::parse(&format!("version {version}"), &answer.text);
    let config = config.map_err(|findings| Failure::Refused(findings.to_string()))?;
    let wanted = |known: &&Class| class.as_ref().is_none_or(|id| known.id == id.as_str());
    let classes: Vec<&Class> = config.classes.iter().filter(wanted).collect();
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
        table.row(vec![
            class.id.to_string(),
            format!("{} ms", class.latency_target.as_millis()),
            format!("{}%", class.headroom_pct),
            format!("{} ms", class.deadline.as_millis()),
            class.priority.to_string(),
            format!("{}%", percent(class.success_target_ppm)),
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

/// Revises targets of a class.
pub(super) async fn set(context: &Context, args: &TargetArgs) -> Result<Output, Failure> {
    let options = options(args);
    if options.is_empty() {
        return Err(Failure::BadInput(
            "nothing to set: name at least one target, see --help".to_owned(),
        ));
    }
    let command = format!("target set {}{options}", quoted(&args.class));
    let pending = Pending::new(context, &args.change, command);
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
    let what = format!("targets of {}", args.class);
    pending.run(&request, &what).await
}

/// The options that were given, as on the command line.
fn options(args: &TargetArgs) -> String {
    let percent = args.success_pct.map(|ppm| percent(ppm.0));
    [
        ("latency-ms", args.latency_ms.map(|v| v.to_string())),
        ("headroom-pct", args.headroom_pct.map(|v| v.to_string())),
        ("deadline-ms", args.deadline_ms.map(|v| v.to_string())),
        ("priority", args.priority.map(|v| v.to_string())),
        ("success-pct", percent),
    ]
    .into_iter()
    .filter_map(|(name, value)| value.map(|value| format!(" --{name} {value}")))
    .collect()
}

/// Parts per million as a percentage without needless digits.
fn percent(ppm: u32) -> String {
    let text = format!("{}.{:04}", ppm / 10_000, ppm % 10_000);
    text.trim_end_matches('0').trim_end_matches('.').to_owned()
}
