//! `jasminectl`: the command-line client for operators.
//!
//! It sends requests to the operator address of a daemon; if several daemons are given, to the
//! first that responds. Exit codes: 0 done, 1 refused and nothing changed, 2 bad input and nothing
//! sent or changed, 3 outcome unknown, and then the message names the command to run next.
//!
//! Results go to standard output, as text or JSON; progress and errors go to standard error, so
//! that a pipe gets results only. `args` defines the command line, `command` has one module per
//! command, `context` the state and the file readers that they share, `outcome` results, failures
//! and exit codes, `table` the layout of text tables.

mod args;
mod command;
mod context;
mod outcome;
mod table;

use crate::{
    args::Args,
    outcome::{
        print_stderr,
        Output, //
    },
};
use clap::Parser;
use std::process::ExitCode;

#[actix_rt::main]
async fn main() -> ExitCode {
    let args = Args::parse();
    let format = args.global.output;
    match command::run(args).await {
        Ok(output) => match output.print(format) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => outcome::report_write_error(&output, &error),
        },
        Err(failure) => {
            if let Some(output) = failure.output(format) {
                // A write error is ignored: the message goes to standard error as well.
                let _ = Output::print(&output, format);
            }
            print_stderr(&failure.to_string());
            failure.code()
        }
    }
}
