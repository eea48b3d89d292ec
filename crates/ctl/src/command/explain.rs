//! `explain`: from a request's id to its story and its likely cause, by logs alone.

use crate::{
    args::ExplainArgs,
    context::read_file,
    outcome::{
        tell,
        Failure,
        Output, //
    },
};
use explain::Logs;
use serde_json::json;
use std::{
    io::Read as _,
    path::Path, //
};

/// File name that stands for standard input.
const STDIN: &str = "-";

/// Reads the logs and tells the story of one request, or counts all failures.
pub(super) fn run(args: &ExplainArgs) -> Result<Output, Failure> {
    let mut logs = Logs::default();
    for file in &args.files {
        logs.add(&file.display().to_string(), &read(file)?);
    }
    let (unreadable, count) = logs.unreadable();
    if count > 0 {
        tell(&format!("{count} lines can't be read, the first of them:"));
        unreadable.iter().for_each(|line| tell(&line.to_string()));
    }
    match &args.id {
        Some(id) => match logs.story(id) {
            Ok(story) => Ok(Output::new(story.to_string(), &story)),
            Err(unknown) => Err(Failure::Refused(unknown.to_string())),
        },
        None if args.summary => {
            let summary = logs.summary();
            Ok(Output::new(summary.to_string(), &summary))
        }
        None => Ok(failures(&logs)),
    }
}

fn read(file: &Path) -> Result<String, Failure> {
    if file.as_os_str() != STDIN {
        return read_file(file);
    }
    let mut text = String::new();
    let read = std::io::stdin().read_to_string(&mut text);
    read.map_err(|error| Failure::BadInput(format!("standard input: {error}")))?;
    Ok(text)
}

/// All failures by fault, the most frequent first.
fn failures(logs: &Logs) -> Output {
    let mut failures: Vec<_> = logs.failures().into_iter().collect();
    failures.sort_by_key(|(_, (count, _))| std::cmp::Reverse(*count));
    let lines = failures
        .iter()
        .map(|(fault, (count, first))| format!("{count:>8}  {fault}, as {first}"));
    let mut text: Vec<String> = lines.collect();
    if text.is_empty() {
        text.push("no request failed in these logs".to_owned());
    }
    let missing_lines = logs.missing_lines();
    if missing_lines > 0 {
        text.push(format!("{missing_lines} lines about requests are missing"));
    }
    let rows = failures
        .iter()
        .map(|(fault, (count, first))| json!({"fault": fault, "count": count, "first": first}));
    let rows: Vec<_> = rows.collect();
    Output::new(
        text.join("\n"),
        &json!({"failures": rows, "missing_lines": missing_lines}),
    )
}
