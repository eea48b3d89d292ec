//! `jasmine-report`: collects the counts of all daemons and prints the burn of each class.
//!
//! Exit codes: 0 if a report was produced, even if some daemons did not answer (the report names
//! them); 1 if no daemon answered; 2 for bad input or if the report can't be written.

use clap::{
    Parser,
    ValueEnum, //
};
use op::{
    read_key,
    Burn,
    Client,
    Failure, //
};
use report::{
    Report, //
    UnansweredDaemon,
};
use std::{
    fs,
    io::{
        self,
        stderr,
        stdout,
        Write, //
    },
    path::PathBuf,
    process::ExitCode,
    time::{
        Duration,
        SystemTime,
        UNIX_EPOCH, //
    },
};

/// Exit code if no daemon answered.
const NO_ANSWER: u8 = 1;
/// Exit code for bad input and for a report that can't be written.
const BAD_INPUT: u8 = 2;

/// Service-level burn of each class, over all daemons.
#[derive(Debug, Parser)]
#[command(name = "jasmine-report", version)]
struct Args {
    /// Operators' address of a daemon, HOST:PORT; the others are found through it.
    #[arg(
        long,
        env = "JASMINE_DAEMON",
        required = true,
        value_delimiter = ',',
        value_parser = op::parse_addr
    )]
    daemon: Vec<String>,
    /// Query only the daemons given by --daemon.
    #[arg(long)]
    only: bool,
    /// File that contains the operators' key; by default the key is read from JASMINE_KEY.
    #[arg(long, env = "JASMINE_KEY_FILE")]
    key_file: Option<PathBuf>,
    /// Format of the report.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    output: Format,
    /// File that the report is written to; standard output by default.
    #[arg(long)]
    to: Option<PathBuf>,
    /// Timeout for the answer of each daemon, in seconds.
    #[arg(long, default_value_t = 10)]
    request_timeout_s: u64,
}

/// Format of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Format {
    /// Plain text for a terminal.
    Text,
    /// JSON for programs.
    Json,
    /// HTML page with plots for a browser.
    Html,
}

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let key = match read_key(args.key_file.as_deref()) {
        Ok(key) => key,
        Err(error) => return fail(BAD_INPUT, &error.to_string()),
    };
    let timeout = Duration::from_secs(args.request_timeout_s);
    let client = Client::new(args.daemon.clone(), key, timeout);
    let report = match query_daemons(&client, args.only).await {
        Ok(report) => report,
        Err(failure) => return fail(NO_ANSWER, &failure),
    };
    let text = match args.output {
        Format::Text => report.text(),
        Format::Json => format!("{:#}\n", serde_json::json!(report)),
        Format::Html => report.html(),
    };
    match args.to {
        None => {
            if let Err(error) = print_report(&text) {
                return fail(BAD_INPUT, &format!("standard output: {error}"));
            }
        }
        Some(file) => {
            if let Err(error) = fs::write(&file, text) {
                return fail(BAD_INPUT, &format!("{}: {error}", file.display()));
            }
        }
    }
    ExitCode::SUCCESS
}

/// Queries all daemons concurrently and merges their counts.
///
/// # Errors
///
/// If no daemon answered.
async fn query_daemons(client: &Client, only: bool) -> Result<Report, String> {
    let daemons = if only {
        client.configured_daemons()
    } else {
        let known = client.known_daemons().await;
        known.map_err(|failure| failure.to_string())?
    };
    let at = SystemTime::now().duration_since(UNIX_EPOCH);
    let at_ms = at.map_or(0, |at| u64::try_from(at.as_millis()).unwrap_or(u64::MAX));
    let answers = client.get_from_each::<Burn>(&daemons, "/op/v1/burn").await;
    let mut counted = Vec::new();
    let mut not_answered = Vec::new();
    for (daemon, answer) in daemons.iter().zip(answers) {
        match answer {
            Ok(burn) => counted.push(burn),
            Err(failure) => not_answered.push(UnansweredDaemon {
                daemon: daemon.to_string(),
                why: failure_reason(&daemon.addr, failure),
            }),
        }
    }
    if counted.is_empty() {
        let lines = not_answered.iter();
        let lines: Vec<String> = lines.map(|n| format!("{}: {}", n.daemon, n.why)).collect();
        return Err(lines.join("\n"));
    }
    Ok(Report::new(at_ms, counted, not_answered))
}

/// Reason why a daemon did not answer, without its address, which the report prints beside it.
fn failure_reason(addr: &str, failure: Failure) -> String {
    match failure {
        Failure::NoResponse { tried } => {
            let tried = tried.iter();
            let tried = tried.map(|t| t.strip_prefix(&format!("{addr}: ")).unwrap_or(t));
            tried.collect::<Vec<_>>().join("; ")
        }
        other => other.to_string(),
    }
}

/// Prints the report; a reader that closes the pipe early is not an error.
fn print_report(text: &str) -> io::Result<()> {
    let mut out = stdout().lock();
    let result = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match result {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(error),
        _ => Ok(()),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    // Standard error may be closed; the exit code reports the failure in any case.
    let _ = writeln!(stderr(), "{message}");
    ExitCode::from(code)
}
