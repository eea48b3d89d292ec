//! `routes`: host and path-prefix routes, and evacuations, in the platform's table.
//!
//! Entries that route by host and path follow the table, so these commands need no daemon: a change
//! is in force once it is committed to the table. Each write is a compare-and-set on the row that
//! was read, so that it never overwrites another operator's change. Each command may be repeated: a
//! value that the table already has is not written again.

use crate::{
    args::{
        PlatformArgs,
        RoutesCommand, //
    },
    command::change::shell_quote,
    context::read_routes,
    outcome::{
        Failure,
        Output, //
    },
};
use bytestring::ByteString;
use plat::{
    Check,
    Commit,
    FailureReason,
    HttpPlatform,
    Outcome,
    Row,
    Table,
    Txn,
    Write, //
};
use route::{
    keys,
    Routes, //
};
use serde_json::json;
use std::{
    path::Path,
    time::Duration, //
};

/// Runs one of the commands; each platform call ends within `timeout`.
pub(super) async fn run(command: RoutesCommand, timeout: Duration) -> Result<Output, Failure> {
    match command {
        RoutesCommand::Accept { file, platform } => {
            accept(&file, &OperatorRows::new(platform, timeout)).await
        }
        RoutesCommand::Show { platform } => show(&OperatorRows::new(platform, timeout)).await,
        RoutesCommand::Evacuate { domain, platform } => {
            set_evacuated(&domain, true, &OperatorRows::new(platform, timeout)).await
        }
        RoutesCommand::Restore { domain, platform } => {
            set_evacuated(&domain, false, &OperatorRows::new(platform, timeout)).await
        }
    }
}

/// Access to the operators' rows of the platform's table.
struct OperatorRows {
    platform: HttpPlatform,
    url: String,
}

/// Effect of a write.
enum WriteEffect {
    New,
    Unchanged,
}

impl OperatorRows {
    fn new(args: PlatformArgs, timeout: Duration) -> Self {
        Self {
            platform: HttpPlatform::new(args.platform.clone(), timeout, timeout),
            url: args.platform,
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        let keys = [full_key(key)];
        let result = self.platform.read(&keys).await;
        let rows = result.map_err(|error| Failure::Refused(format!("{}: {error}", self.url)))?;
        Ok(rows.into_iter().flatten().next())
    }

    /// Writes a row unless it changed since it was read.
    ///
    /// `repeat_command` is the command line to run if the outcome is unknown.
    async fn write(
        &self,
        key: &str,
        before: Option<&Row>,
        value: ByteString,
        repeat_command: String,
    ) -> Result<WriteEffect, Failure> {
        if before.is_some_and(|row| row.value == value) {
            return Ok(WriteEffect::Unchanged);
        }
        let key = full_key(key);
        let check = match before {
            Some(row) => Check::Version {
                key: key.clone(),
                version: row.version,
            },
            None => Check::Absent { key: key.clone() },
        };
        let txn = Txn {
            checks: vec![check],
            writes: vec![Write::Put { key, value }],
        };
        match self.platform.commit(txn).await {
            Outcome::Done(Commit::Committed { .. }) => Ok(WriteEffect::New),
            Outcome::Done(Commit::Conflict { .. }) => Err(Failure::Refused(
                "another operator's change came first; nothing was changed".into(),
            )),
            Outcome::NotDone(reason) => Err(self.refusal(&reason)),
            Outcome::Unknown(reason) => Err(Failure::Unknown {
                message: format!("{}: {reason}; it may have been done", self.url),
                next: format!("{repeat_command} --platform {}", shell_quote(&self.url)),
            }),
        }
    }

    fn refusal(&self, reason: &FailureReason) -> Failure {
        Failure::Refused(format!("{}: {reason}; nothing was changed", self.url))
    }
}

fn full_key(key: &str) -> ByteString {
    format!("{}/{key}", keys::OPERATOR_TABLE).into()
}

/// Puts the routes of a file in force.
async fn accept(file: &Path, rows: &OperatorRows) -> Result<Output, Failure> {
    let (routes, text) = read_routes(file)?;
    let before = rows.read(keys::ROUTES_KEY).await?;
    let current = before.as_ref().and_then(parse_routes);
    let is_repeat = before.as_ref().is_some_and(|row| *row.value == *text);
    let latest = current.as_ref().map_or(0, |routes| routes.version);
    if !is_repeat && routes.version <= latest {
        return Err(Failure::Refused(format!(
            "version {latest} is in force: entries take higher versions only, and {} has {}",
            file.display(),
            routes.version
        )));
    }
    let repeat_command = format!(
        "jasminectl routes accept {}",
        shell_quote(&file.display().to_string())
    );
    let effect = rows
        .write(
            keys::ROUTES_KEY,
            before.as_ref(),
            text.into(),
            repeat_command,
        )
        .await?;
    let outcome = match effect {
        WriteEffect::New => "accepted",
        WriteEffect::Unchanged => "in force already",
    };
    Ok(Output::new(
        format!("version {}: {outcome}", routes.version),
        &json!({"version": routes.version, "before": latest, "how": outcome}),
    ))
}

/// Routes of a row; `None` if it can't be parsed, which must not prevent its replacement.
fn parse_routes(row: &Row) -> Option<Routes> {
    route::parse(keys::ROUTES_KEY, &row.value).ok()
}

/// Shows the text of the routes in force as it was accepted.
async fn show(rows: &OperatorRows) -> Result<Output, Failure> {
    let row = rows.read(keys::ROUTES_KEY).await?;
    let row = row.ok_or_else(|| Failure::Refused("no routes are in force yet".into()))?;
    let version = parse_routes(&row).map(|routes| routes.version);
    let json = json!({"version": version, "row_version": row.version, "text": &*row.value});
    Ok(Output::new(row.value.to_string(), &json))
}

/// Starts or ends the evacuation of a failure domain.
async fn set_evacuated(
    domain: &str,
    evacuated: bool,
    rows: &OperatorRows,
) -> Result<Output, Failure> {
    let key = keys::evacuated_key(domain);
    let before = rows.read(&key).await?;
    let (value, verb) = if evacuated {
        (keys::EVACUATED, "evacuate")
    } else {
        (keys::NOT_EVACUATED, "restore")
    };
    let is_already_set = before.as_ref().is_some_and(|row| *row.value == *value);
    // A domain without a row is not evacuated, so restoring it writes nothing.
    if !is_already_set && (evacuated || before.is_some()) {
        let repeat_command = format!("jasminectl routes {verb} {}", shell_quote(domain));
        let value = ByteString::from_static(value);
        rows.write(&key, before.as_ref(), value, repeat_command)
            .await?;
    }
    let state = if evacuated { "evacuated" } else { "in use" };
    let changed = !is_already_set && (evacuated || before.is_some());
    let suffix = if changed { "" } else { " already" };
    Ok(Output::new(
        format!("{domain}: {state}{suffix}"),
        &json!({"failure_domain": domain, "evacuated": evacuated, "changed": changed}),
    ))
}
