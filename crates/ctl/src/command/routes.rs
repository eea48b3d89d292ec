//! `routes`: routes by host and path, and evacuations, in the platform's table.
//!
//! Entries that route by host and path follow the table, so these commands need no daemon: a change is
//! in force once the table has it. Each is a compare-and-set on the row that was read, so that a
//! colleague's change is never written over unseen, and each may be repeated: what stands already
//! changes nothing.

use crate::{
    args::{
        PlatformArgs,
        RoutesCommand, //
    },
    command::change::quoted,
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

/// Runs one of the commands; calls of the platform end within `timeout`.
pub(super) async fn run(command: RoutesCommand, timeout: Duration) -> Result<Output, Failure> {
    match command {
        RoutesCommand::Accept { file, platform } => {
            accept(&file, &Rows::new(platform, timeout)).await
        }
        RoutesCommand::Show { platform } => show(&Rows::new(platform, timeout)).await,
        RoutesCommand::Evacuate { domain, platform } => {
            evacuate(&domain, true, &Rows::new(platform, timeout)).await
        }
        RoutesCommand::Restore { domain, platform } => {
            evacuate(&domain, false, &Rows::new(platform, timeout)).await
        }
    }
}

/// The operators' rows.
struct Rows {
    platform: HttpPlatform,
    url: String,
}

/// What became of a write.
enum Written {
    New,
    Unchanged,
}

impl Rows {
    fn new(args: PlatformArgs, timeout: Duration) -> Self {
        Self {
            platform: HttpPlatform::new(args.platform.clone(), timeout, timeout),
            url: args.platform,
        }
    }

    async fn read(&self, key: &str) -> Result<Option<Row>, Failure> {
        let keys = [full_key(key)];
        let read = self.platform.read(&keys).await;
        let rows = read.map_err(|error| Failure::Refused(format!("{}: {error}", self.url)))?;
        Ok(rows.into_iter().flatten().next())
    }

    /// Writes a row if it still is as it was read; `again` repeats the whole command.
    async fn write(
        &self,
        key: &str,
        before: Option<&Row>,
        value: ByteString,
        again: String,
    ) -> Result<Written, Failure> {
        if before.is_some_and(|row| row.value == value) {
            return Ok(Written::Unchanged);
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
            Outcome::Done(Commit::Committed { .. }) => Ok(Written::New),
            Outcome::Done(Commit::Conflict { .. }) => Err(Failure::Refused(
                "another operator's change came first; nothing was changed".into(),
            )),
            Outcome::NotDone(reason) => Err(self.not_done(&reason)),
            Outcome::Unknown(reason) => Err(Failure::Unknown {
                message: format!("{}: {reason}; it may have been done", self.url),
                next: format!("{again} --platform {}", quoted(&self.url)),
            }),
        }
    }

    fn not_done(&self, reason: &FailureReason) -> Failure {
        Failure::Refused(format!("{}: {reason}; nothing was changed", self.url))
    }
}

fn full_key(key: &str) -> ByteString {
    format!("{}/{key}", keys::OPERATOR_TABLE).into()
}

/// Makes a file the routes in force.
async fn accept(file: &Path, rows: &Rows) -> Result<Output, Failure> {
    let (routes, text) = read_routes(file)?;
    let before = rows.read(keys::ROUTES_KEY).await?;
    let in_force = before.as_ref().and_then(in_force);
    let repeated = before.as_ref().is_some_and(|row| *row.value == *text);
    let newest = in_force.as_ref().map_or(0, |routes| routes.version);
    if !repeated && routes.version <= newest {
        return Err(Failure::Refused(format!(
            "version {newest} is in force: entries take higher versions only, and {} has {}",
            file.display(),
            routes.version
        )));
    }
    let again = format!(
        "jasminectl routes accept {}",
        quoted(&file.display().to_string())
    );
    let written = rows
        .write(keys::ROUTES_KEY, before.as_ref(), text.into(), again)
        .await?;
    let how = match written {
        Written::New => "accepted",
        Written::Unchanged => "in force already",
    };
    Ok(Output::new(
        format!("version {}: {how}", routes.version),
        &json!({"version": routes.version, "before": newest, "how": how}),
    ))
}

/// The routes of a row; `None` if it can't be read, which must not keep good ones from replacing it.
fn in_force(row: &Row) -> Option<Routes> {
    route::parse(keys::ROUTES_KEY, &row.value).ok()
}

/// Shows the routes in force as they were accepted.
async fn show(rows: &Rows) -> Result<Output, Failure> {
    let row = rows.read(keys::ROUTES_KEY).await?;
    let row = row.ok_or_else(|| Failure::Refused("no routes are in force yet".into()))?;
    let version = in_force(&row).map(|routes| routes.version);
    let json = json!({"version": version, "row_version": row.version, "text": &*row.value});
    Ok(Output::new(row.value.to_string(), &json))
}

/// Begins or ends the evacuation of a failure domain.
async fn evacuate(domain: &str, on: bool, rows: &Rows) -> Result<Output, Failure> {
    let key = keys::evacuated_key(domain);
    let before = rows.read(&key).await?;
    let (value, verb) = if on {
        (keys::EVACUATED, "evacuate")
    } else {
        (keys::NOT_EVACUATED, "restore")
    };
    let stood = before.as_ref().is_some_and(|row| *row.value == *value);
    // A domain without a row is not evacuated.
    if !stood && (on || before.is_some()) {
        let again = format!("jasminectl routes {verb} {}", quoted(domain));
        let value = ByteString::from_static(value);
        rows.write(&key, before.as_ref(), value, again).await?;
    }
    let state = if on { "evacuated" } else { "in use" };
    let changed = !stood && (on || before.is_some());
    let how = if changed { "" } else { " already" };
    Ok(Output::new(
        format!("{domain}: {state}{how}"),
        &json!({"failure_domain": domain, "evacuated": on, "changed": changed}),
    ))
}
