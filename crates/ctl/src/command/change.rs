//! What commands that change something share: the accept id, the outcome, the wait.

use crate::{
    args::ChangeArgs,
    context::Context,
    outcome::{
        tell,
        Failure,
        Output, //
    },
};
use base::{
    InstanceId,
    Version, //
};
use op::{
    Accepted,
    AcceptedHow,
    Change,
    Confirmation,
    Unconfirmed, //
};
use serde::Serialize;
use std::time::{
    Duration,
    Instant, //
};

/// Time between two questions for confirmations.
const POLL: Duration = Duration::from_millis(200);

/// A change on its way: how it is named, and how to repeat it.
pub(super) struct Pending<'a> {
    context: &'a Context,
    args: &'a ChangeArgs,
    pub(super) accept_id: String,
    /// Command line that repeats it, but for the accept id and the options of all changes.
    command: String,
}

/// What a change came to.
#[derive(Serialize)]
struct Report<'a> {
    accept_id: &'a str,
    #[serde(flatten)]
    accepted: &'a Accepted,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    confirmation: Option<&'a Confirmation>,
}

impl<'a> Pending<'a> {
    /// Change that `command` would ask for again.
    pub(super) fn new(context: &'a Context, args: &'a ChangeArgs, command: String) -> Self {
        let random = || format!("{:032x}", rand::random::<u128>());
        Self {
            context,
            args,
            accept_id: args.accept_id.clone().unwrap_or_else(random),
            command,
        }
    }

    /// Asks for the change, waits if it is to, and tells what came of it.
    pub(super) async fn run(&self, change: &impl Change, what: &str) -> Result<Output, Failure> {
        tell(&format!("{what}, accept id {}", self.accept_id));
        let accepted = match self.context.client.change(change).await {
            Ok(accepted) => accepted,
            Err(failure @ op::Failure::Unknown { .. }) => {
                return Err(Failure::Unknown {
                    message: failure.to_string(),
                    next: self.again(),
                });
            }
            Err(failure) => return Err(failure.into()),
        };
        let mut text = describe(&accepted, what);
        let confirmation = if self.args.wait {
            Some(self.wait(accepted.version, &text).await?)
        } else {
            None
        };
        if let Some(confirmation) = &confirmation {
            let count = confirmation.confirmed.len();
            text += &format!("\nin force at all {count} live instances");
            if !confirmation.lapsed.is_empty() {
                let gone = names(&confirmation.lapsed);
                text += &format!("; not waited for, their lease has lapsed: {gone}");
            }
        }
        let report = Report {
            accept_id: &self.accept_id,
            accepted: &accepted,
            confirmation: confirmation.as_ref(),
        };
        Ok(Output::new(text, &report))
    }

    /// Waits until every live instance has the version in force.
    async fn wait(&self, version: Version, accepted: &str) -> Result<Confirmation, Failure> {
        let end = Instant::now() + Duration::from_secs(self.args.timeout_s);
        let path = format!("/op/v1/confirmed?version={version}");
        let mut shown = String::new();
        loop {
            let asked = self.context.client.get::<Confirmation>(&path).await;
            let progress = match &asked {
                Ok(confirmation) if confirmation.missing.is_empty() => {
                    return asked.map_err(Failure::from)
                }
                Ok(confirmation) => progress(confirmation),
                Err(failure) => failure.to_string(),
            };
            if progress != shown {
                tell(&progress);
                shown = progress;
            }
            if Instant::now() >= end {
                return Err(Failure::Unknown {
                    message: format!("{accepted}\nnot in force everywhere in time: {shown}"),
                    next: self.again(),
                });
            }
            actix_rt::time::sleep(POLL).await;
        }
    }

    /// Command line that repeats the change safely.
    fn again(&self) -> String {
        let global = &self.context.global;
        let mut line = String::from("jasminectl");
        for daemon in &global.daemon {
            line += &format!(" --daemon {}", quoted(daemon));
        }
        if let Some(file) = &global.key_file {
            line += &format!(" --key-file {}", quoted(&file.display().to_string()));
        }
        // A repeat may be the one that is accepted, and then its author is the one that is kept.
        if let Some(author) = &global.author {
            line += &format!(" --author {}", quoted(author));
        }
        line += &format!(" {} --accept-id {}", self.command, quoted(&self.accept_id));
        if self.args.wait {
            line += &format!(" --wait --timeout-s {}", self.args.timeout_s);
        }
        line
    }
}

fn describe(accepted: &Accepted, what: &str) -> String {
    let version = accepted.version;
    let mut text = match accepted.how {
        AcceptedHow::New => format!("{what}: accepted as version {version}"),
        AcceptedHow::Repeated => {
            format!("{what}: was accepted already by an earlier request, as version {version}")
        }
        AcceptedHow::Unchanged => {
            format!("{what}: nothing to change, it is so in version {version}")
        }
    };
    for step in &accepted.difference {
        text += &format!("\n  {step}");
    }
    text
}

fn progress(confirmation: &Confirmation) -> String {
    let confirmed = confirmation.confirmed.len();
    let all = confirmed + confirmation.missing.len();
    let missing: Vec<String> = confirmation.missing.iter().map(name_missing).collect();
    format!(
        "version {} confirmed by {confirmed} of {all}, missing: {}",
        confirmation.version,
        missing.join(", ")
    )
}

fn name_missing(missing: &Unconfirmed) -> String {
    let Unconfirmed {
        instance, version, ..
    } = missing;
    match missing.age_ms {
        // Shown in whole seconds, so that the line changes only when something does.
        Some(age_ms) if age_ms >= 1000 => {
            format!(
                "{instance} (version {version}, heard {} s ago)",
                age_ms / 1000
            )
        }
        Some(_) => format!("{instance} (version {version})"),
        None => format!("{instance} (never heard)"),
    }
}

fn names(instances: &[InstanceId]) -> String {
    let names: Vec<&str> = instances.iter().map(|id| &**id).collect();
    names.join(", ")
}

/// A word as a shell reads it.
pub(super) fn quoted(word: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./:=@,".contains(c);
    if !word.is_empty() && word.chars().all(is_plain) {
        return word.to_owned();
    }
    format!("'{}'", word.replace('\'', r"'\''"))
}
