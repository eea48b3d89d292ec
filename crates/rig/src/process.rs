//! Child processes of a test.

use nix::{
    sys::signal::{
        self,
        Signal, //
    },
    unistd::Pid,
};
use std::{
    collections::BTreeMap,
    env,
    fs::File,
    io::{
        BufRead,
        BufReader, //
    },
    net::TcpListener,
    path::{
        Path,
        PathBuf, //
    },
    process::{
        Child,
        ChildStdout,
        Command,
        ExitStatus,
        Stdio, //
    },
    sync::atomic::{
        AtomicU16,
        Ordering, //
    },
    thread,
    time::{
        Duration,
        Instant, //
    },
};

/// First port of the range for listeners. The range lies below the kernel's ephemeral ports, so
/// that no outgoing connection takes a port between the check and its use.
const FIRST_PORT: u16 = 10_000;
/// Number of ports in the range.
const PORT_COUNT: u16 = 22_000;
/// Distance between the starting ports of two test processes with consecutive ids.
const PORT_STRIDE: u32 = 397;
/// Interval at which a process is polled for its exit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process, killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// Kept open: the process's writes would fail otherwise.
    _stdout: Option<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a binary of this workspace, from `folder` if given, with its output appended to
    /// `log`.
    pub(crate) fn start(
        program: &str,
        folder: Option<&Path>,
        args: &[String],
        log: &Path,
    ) -> Result<Self, String> {
        let path = binary_path(program, folder)?;
        Self::spawn(&path, args, log, None)
    }

    /// Starts a stand-in and reads its listener addresses, by name, up to that of `last`.
    pub(crate) fn start_with_addresses(
        program: &str,
        args: &[String],
        log: &Path,
        last: &str,
    ) -> Result<(Self, BTreeMap<String, String>), String> {
        let path = binary_path(program, None)?;
        let mut process = Self::spawn(&path, args, log, Some(Stdio::piped()))?;
        let stdout = process.child.stdout.take();
        let mut lines = BufReader::new(stdout.ok_or("stdout of the process is not piped")?);
        let mut addresses = BTreeMap::new();
        while !addresses.contains_key(last) {
            let mut line = String::new();
            let read_bytes = lines.read_line(&mut line).map_err(|e| e.to_string())?;
            if read_bytes == 0 {
                return Err(format!("{program} exited early, see {}", log.display()));
            }
            let fields: Vec<&str> = line.split_whitespace().collect();
            match fields[..] {
                ["listening", name, addr] => addresses.insert(name.to_owned(), addr.to_owned()),
                ["listening", addr] => addresses.insert(String::new(), addr.to_owned()),
                _ => None,
            };
        }
        process._stdout = Some(lines);
        Ok((process, addresses))
    }

    fn spawn(
        path: &Path,
        args: &[String],
        log: &Path,
        stdout: Option<Stdio>,
    ) -> Result<Self, String> {
        let log_error = |error| format!("{}: {error}", log.display());
        let file = File::options().create(true).append(true).open(log);
        let log = file.map_err(log_error)?;
        let stdout = match stdout {
            Some(stdout) => stdout,
            None => log.try_clone().map_err(log_error)?.into(),
        };
        let child = Command::new(path)
            .args(args)
            .stdin(Stdio::null())
            .stdout(stdout)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Self {
            child,
            _stdout: None,
        })
    }

    /// Sends a signal, unless the process has exited and its id may have been reused.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.exit_status().is_some() {
            return;
        }
        let id = i32::try_from(self.child.id()).expect("a process id fits into an i32");
        // Fails only if the process has exited in the meantime, which needs no signal.
        let _ = signal::kill(Pid::from_raw(id), signal);
    }

    /// Exit status, if the process has exited.
    pub(crate) fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for the exit, up to `limit`.
    pub(crate) fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if let Some(status) = self.exit_status() {
                return Some(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        None
    }

    /// Kills the process and reaps it.
    pub(crate) fn kill(&mut self) {
        // Fails only if the process has exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a binary in `folder`, or by default in the folder of this build's binaries.
fn binary_path(program: &str, folder: Option<&Path>) -> Result<PathBuf, String> {
    let test_binary = env::current_exe().map_err(|error| error.to_string())?;
    // Tests run from `target/<profile>/deps`; binaries are in its parent.
    let default_folder = test_binary.parent().and_then(Path::parent);
    let folder = folder.or(default_folder).unwrap_or(Path::new("."));
    let path = folder.join(program);
    if path.is_file() {
        return Ok(path);
    }
    Err(format!(
        "{} is missing: build it first by `cargo build -p daemon -p standin`, in the same profile",
        path.display()
    ))
}

/// Loopback address with a free port; each port is handed out once per process.
pub(crate) fn free_addr() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test processes run concurrently, so each starts at another port.
    let base = std::process::id().wrapping_mul(PORT_STRIDE) % u32::from(PORT_COUNT);
    loop {
        let offset = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let index = u16::try_from((base + offset) % u32::from(PORT_COUNT)).unwrap_or(0);
        let port = FIRST_PORT + index;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return format!("127.0.0.1:{port}");
        }
    }
}
