//! `explain`: explains the outcome of requests and its likely cause from logs alone.

use crate::{
    args::ExplainArgs,
    context::read_file,
    outcome::{
        print_stderr,
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

/// File name that denotes standard input.
const STDIN: &str = "-";

/// Reads the logs and explains one request, sums up all, or counts the failures.
pub(super) fn run(args: &ExplainArgs) -> Result<Output, Failure> {
    let mut logs = Logs::default();
    for file in &args.files {
        logs.add(&file.display().to_string(), &read_log(file)?);
    }
    let (unreadable, count) = logs.unreadable();
    if count > 0 {
        print_stderr(&format!("{count} lines can't be read, the first of them:"));
        unreadable
            .iter()
            .for_each(|line| print_stderr(&line.to_string()));
    }
    match &args.id {
        Some(id) => match logs.trace(id) {
            Ok(explanation) => Ok(Output::new(explanation.to_string(), &explanation)),
            Err(unknown_id) => Err(Failure::Refused(unknown_id.to_string())),
        },
        None if args.summary => {
            let summary = logs.summary();
            Ok(Output::new(summary.to_string(), &summary))
        }
        None => Ok(count_failures(&logs)),
    }
}

fn read_log(file: &Path) -> Result<String, Failure> {
    if file.as_os_str() != STDIN {
        return read_file(file);
    }
    let mut text = String::new();
    let result = std::io::stdin().read_to_string(&mut text);
    result.map_err(|error| Failure::BadInput(format!("standard input: {error}")))?;
    Ok(text)
}

/// Counts the failures by fault, the most frequent fault first.
fn count_failures(logs: &Logs) -> Output {
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
