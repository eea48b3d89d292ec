//! Requests for changes: the accept id, the outcome and the wait for confirmations.

use crate::{
    args::ChangeArgs,
    context::Context,
    outcome::{
        print_stderr,
        Failure,
        Output, //
    },
};
use base::{
    InstanceId,
    Version, //
};
use op::{
    AcceptEffect,
    Accepted,
    Change,
    Confirmation,
    Unconfirmed, //
};
use serde::Serialize;
use std::time::{
    Duration,
    Instant, //
};

/// Interval between two queries for confirmations.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Change to be requested: its accept id, and the command line that repeats it.
pub(super) struct PendingChange<'a> {
    context: &'a Context,
    args: &'a ChangeArgs,
    pub(super) accept_id: String,
    /// Command line that repeats the change, without global options and those of [`ChangeArgs`].
    command: String,
}

/// Outcome of a change, as JSON output.
#[derive(Serialize)]
struct Report<'a> {
    accept_id: &'a str,
    #[serde(flatten)]
    accepted: &'a Accepted,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    confirmation: Option<&'a Confirmation>,
}

impl<'a> PendingChange<'a> {
    /// Change that `command` would request again; draws an accept id unless one is given.
    pub(super) fn new(context: &'a Context, args: &'a ChangeArgs, command: String) -> Self {
        let random_id = || format!("{:032x}", rand::random::<u128>());
        Self {
            context,
            args,
            accept_id: args.accept_id.clone().unwrap_or_else(random_id),
            command,
        }
    }

    /// Requests the change, waits for confirmations if `--wait` is given, and reports the outcome.
    pub(super) async fn run(&self, change: &impl Change, subject: &str) -> Result<Output, Failure> {
        print_stderr(&format!("{subject}, accept id {}", self.accept_id));
        let accepted = match self.context.client.change(change).await {
            Ok(accepted) => accepted,
            Err(failure @ op::Failure::Unknown { .. }) => {
                return Err(Failure::Unknown {
                    message: failure.to_string(),
                    next: self.repeat_command(),
                });
            }
            Err(failure) => return Err(failure.into()),
        };
        let mut text = describe(&accepted, subject);
        let confirmation = if self.args.wait {
            Some(self.wait(accepted.version, &text).await?)
        } else {
            None
        };
        if let Some(confirmation) = &confirmation {
            let count = confirmation.confirmed.len();
            text += &format!("\nin force at all {count} live instances");
            if !confirmation.lapsed.is_empty() {
                let lapsed = join_ids(&confirmation.lapsed);
                text += &format!("; not waited for, their lease has lapsed: {lapsed}");
            }
        }
        let report = Report {
            accept_id: &self.accept_id,
            accepted: &accepted,
            confirmation: confirmation.as_ref(),
        };
        Ok(Output::new(text, &report))
    }

    /// Waits until every live instance has confirmed the version.
    async fn wait(&self, version: Version, accepted: &str) -> Result<Confirmation, Failure> {
        let deadline = Instant::now() + Duration::from_secs(self.args.timeout_s);
        let path = format!("/op/v1/confirmed?version={version}");
        let mut last_progress = String::new();
        loop {
            let response = self.context.client.get::<Confirmation>(&path).await;
            let progress = match &response {
                Ok(confirmation) if confirmation.missing.is_empty() => {
                    return response.map_err(Failure::from)
                }
                Ok(confirmation) => describe_progress(confirmation),
                Err(failure) => failure.to_string(),
            };
            if progress != last_progress {
                print_stderr(&progress);
                last_progress = progress;
            }
            if Instant::now() >= deadline {
                return Err(Failure::Unknown {
                    message: format!(
                        "{accepted}\nnot in force everywhere in time: {last_progress}"
                    ),
                    next: self.repeat_command(),
                });
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Command line that repeats the change under the same accept id.
    fn repeat_command(&self) -> String {
        let global = &self.context.global;
        let mut line = String::from("jasminectl");
        for daemon in &global.daemon {
            line += &format!(" --daemon {}", shell_quote(daemon));
        }
        if let Some(file) = &global.key_file {
            line += &format!(" --key-file {}", shell_quote(&file.display().to_string()));
        }
        // If the repeat is the request that is accepted, its author is recorded.
        if let Some(author) = &global.author {
            line += &format!(" --author {}", shell_quote(author));
        }
        line += &format!(
            " {} --accept-id {}",
            self.command,
            shell_quote(&self.accept_id)
        );
        if self.args.wait {
            line += &format!(" --wait --timeout-s {}", self.args.timeout_s);
        }
        line
    }
}

fn describe(accepted: &Accepted, subject: &str) -> String {
    let version = accepted.version;
    let mut text = match accepted.how {
        AcceptEffect::New => format!("{subject}: accepted as version {version}"),
        AcceptEffect::Repeated => {
            format!("{subject}: was accepted already by an earlier request, as version {version}")
        }
        AcceptEffect::Unchanged => {
            format!("{subject}: nothing to change, it is so in version {version}")
        }
    };
    for step in &accepted.difference {
        text += &format!("\n  {step}");
    }
    text
}

fn describe_progress(confirmation: &Confirmation) -> String {
    let confirmed = confirmation.confirmed.len();
    let total = confirmed + confirmation.missing.len();
    let missing: Vec<String> = confirmation
        .missing
        .iter()
        .map(describe_unconfirmed)
        .collect();
    format!(
        "version {} confirmed by {confirmed} of {total}, missing: {}",
        confirmation.version,
        missing.join(", ")
    )
}

fn describe_unconfirmed(missing: &Unconfirmed) -> String {
    let Unconfirmed {
        instance, version, ..
    } = missing;
    match missing.age_ms {
        // Whole seconds: a changed line is printed, and milliseconds would change at every poll.
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

fn join_ids(instances: &[InstanceId]) -> String {
    let names: Vec<&str> = instances.iter().map(|id| &**id).collect();
    names.join(", ")
}

/// Quotes a word for a shell if it contains special characters.
pub(super) fn shell_quote(word: &str) -> String {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || "-_./:=@,".contains(c);
    if !word.is_empty() && word.chars().all(is_plain) {
        return word.to_owned();
    }
    format!("'{}'", word.replace('\'', r"'\''"))
}
