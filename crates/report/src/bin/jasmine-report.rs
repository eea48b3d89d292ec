//! `jasmine-report`: asks all daemons for their counts and shows the burn of each class.
//!
//! Exit codes: 0 a report was made, even if some daemons did not answer (they are named in it);
//! 1 no daemon answered; 2 bad input, or the report can't be written.

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
    NotAnswered,
    Report, //
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

/// Exit code when no daemon answered.
const NO_ANSWER: u8 = 1;
/// Exit code for bad input.
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
        value_parser = op::read_addr
    )]
    daemon: Vec<String>,
    /// Ask only the daemons that are named.
    #[arg(long)]
    only: bool,
    /// File that holds the operators' key; without it, the variable JASMINE_KEY does.
    #[arg(long, env = "JASMINE_KEY_FILE")]
    key_file: Option<PathBuf>,
    /// Form of the report.
    #[arg(long, value_enum, default_value_t = Format::Text)]
    output: Format,
    /// File that the report is written to; without it, standard output.
    #[arg(long)]
    to: Option<PathBuf>,
    /// Longest wait for one daemon's answer, in seconds.
    #[arg(long, default_value_t = 10)]
    request_timeout_s: u64,
}

/// Form of the report.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
enum Format {
    /// For people, in a terminal.
    Text,
    /// For programs.
    Json,
    /// One page with plots, for a browser.
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
    let report = match gather(&client, args.only).await {
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
            if let Err(error) = print(&text) {
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

/// Asks all daemons at once.
///
/// # Errors
///
/// When none answered.
async fn gather(client: &Client, only: bool) -> Result<Report, String> {
    let daemons = if only {
        client.given_daemons()
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
            Err(failure) => not_answered.push(NotAnswered {
                daemon: daemon.to_string(),
                why: why(&daemon.addr, failure),
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

/// Why one daemon did not answer, without its address: it is named beside.
fn why(addr: &str, failure: Failure) -> String {
    match failure {
        Failure::NoAnswer { tried } => {
            let tried = tried.iter();
            let tried = tried.map(|t| t.strip_prefix(&format!("{addr}: ")).unwrap_or(t));
            tried.collect::<Vec<_>>().join("; ")
        }
        other => other.to_string(),
    }
}

/// Prints the report; who reads it may stop in the middle.
fn print(text: &str) -> io::Result<()> {
    let mut out = stdout().lock();
    let printed = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    match printed {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => Err(error),
        _ => Ok(()),
    }
}

fn fail(code: u8, message: &str) -> ExitCode {
    // Nobody may listen; the code tells as much.
    let _ = writeln!(stderr(), "{message}");
    ExitCode::from(code)
}
