//! Helpers that run the `jasminectl` binary, alone or against a rig.

use rig::Rig;
use serde_json::Value;
use std::{
    fs,
    path::PathBuf,
    process::{
        Child,
        Command,
        Output,
        Stdio, //
    },
};

/// Exit code and output of a run of `jasminectl`.
#[derive(Debug)]
pub(crate) struct RunResult {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl RunResult {
    /// Standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:?}"))
    }

    /// Asserts the exit code and that the output contains `message`.
    pub(crate) fn expect(self, code: i32, message: &str) -> Self {
        assert_eq!(self.code, code, "{self:?}");
        let output = format!("{}{}", self.stdout, self.stderr);
        assert!(output.contains(message), "no `{message}` in {self:?}");
        self
    }
}

impl From<Output> for RunResult {
    fn from(output: Output) -> Self {
        let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
        Self {
            code: output.status.code().unwrap_or(-1),
            stdout: text(output.stdout),
            stderr: text(output.stderr),
        }
    }
}

/// Command that runs `jasminectl` with these arguments and an empty standard input.
pub(crate) fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jasminectl"));
    // The environment of the test run must not affect the results.
    for variable in [
        "JASMINE_AUTHOR",
        "JASMINE_DAEMON",
        "JASMINE_KEY",
        "JASMINE_KEY_FILE",
    ] {
        command.env_remove(variable);
    }
    command.args(args).stdin(Stdio::null());
    command
}

/// Runs `jasminectl` until it exits.
pub(crate) fn ctl(args: &[&str]) -> RunResult {
    command(args).output().unwrap().into()
}

/// Starts `jasminectl` without waiting for its exit.
pub(crate) fn spawn_ctl(args: &[&str]) -> Child {
    command(args)
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

/// Waits for the exit of a process that [`spawn_ctl`] started.
pub(crate) fn wait_for_exit(child: Child) -> RunResult {
    child.wait_with_output().unwrap().into()
}

/// Runs `jasminectl` against one daemon of a rig.
pub(crate) fn ctl_at(rig: &Rig, id: &str, args: &[&str]) -> RunResult {
    let daemon = rig.daemons[id].operator_addr.as_str();
    ctl(&[&["--daemon", daemon, "--author", "tester"], args].concat())
}

/// Temporary file that is removed on drop.
pub(crate) struct TempFile(pub(crate) PathBuf);

impl TempFile {
    pub(crate) fn new(name: &str, text: &[u8]) -> Self {
        let name = format!("jasminectl-{}-{name}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::write(&path, text).unwrap();
        Self(path)
    }

    pub(crate) fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for TempFile {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.0);
    }
}
