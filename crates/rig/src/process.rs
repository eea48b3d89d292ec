//! Processes that a test starts, with their handles.

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

/// Ports that are tried for listeners: below those that the kernel gives to outgoing connections,
/// so that none takes a port between the trial and its use.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 22_000;
/// Ports between the first ones of two processes with neighbouring ids.
const PORTS_APART: u32 = 397;
/// Pause between two looks at a process that should end.
const LOOK: Duration = Duration::from_millis(20);

/// A process, killed when dropped.
#[derive(Debug)]
pub(crate) struct Process {
    child: Child,
    /// Kept open, or the process would fail to write.
    _stdout: Option<BufReader<ChildStdout>>,
}

impl Process {
    /// Starts a binary of this workspace, from another folder if one is named; its log goes to a
    /// file.
    pub(crate) fn start(
        program: &str,
        folder: Option<&Path>,
        args: &[String],
        log: &Path,
    ) -> Result<Self, String> {
        let path = binary(program, folder)?;
        Self::spawn(&path, args, log, None)
    }

    /// Starts a stand-in and reads where it listens, by name, until `last` has come.
    pub(crate) fn announced(
        program: &str,
        args: &[String],
        log: &Path,
        last: &str,
    ) -> Result<(Self, BTreeMap<String, String>), String> {
        let path = binary(program, None)?;
        let mut process = Self::spawn(&path, args, log, Some(Stdio::piped()))?;
        let stdout = process.child.stdout.take();
        let mut lines = BufReader::new(stdout.ok_or("the process has no output")?);
        let mut addresses = BTreeMap::new();
        while !addresses.contains_key(last) {
            let mut line = String::new();
            let read = lines.read_line(&mut line).map_err(|e| e.to_string())?;
            if read == 0 {
                return Err(format!("{program} ended early, see {}", log.display()));
            }
            let words: Vec<&str> = line.split_whitespace().collect();
            match words[..] {
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
        let failed = |error| format!("{}: {error}", log.display());
        let opened = File::options().create(true).append(true).open(log);
        let log = opened.map_err(failed)?;
        let stdout = match stdout {
            Some(stdout) => stdout,
            None => log.try_clone().map_err(failed)?.into(),
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

    /// Sends a signal, unless the process has ended and its id may be another's.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if self.ended().is_some() {
            return;
        }
        let id = i32::try_from(self.child.id()).expect("ids of processes fit");
        // Fails only if the process ended in between, which is as good.
        let _ = signal::kill(Pid::from_raw(id), signal);
    }

    /// How it ended, if it did.
    pub(crate) fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end.
    pub(crate) fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            thread::sleep(LOOK);
        }
        None
    }

    /// Kills it and waits for its end.
    pub(crate) fn kill(&mut self) {
        // Fails only if it ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a binary in a folder, or else beside the test's own.
fn binary(program: &str, folder: Option<&Path>) -> Result<PathBuf, String> {
    let own = env::current_exe().map_err(|error| error.to_string())?;
    // Tests run from `target/<profile>/deps`, binaries are one above.
    let beside = own.parent().and_then(Path::parent);
    let folder = folder.or(beside).unwrap_or(Path::new("."));
    let path = folder.join(program);
    if path.is_file() {
        return Ok(path);
    }
    Err(format!(
        "{} is missing: build it first by `cargo build -p daemon -p standin`, in the same profile",
        path.display()
    ))
}

/// An address on loopback with a free port, given out once by this process.
pub(crate) fn free_addr() -> String {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Tests of several binaries run side by side: each begins elsewhere.
    let base = std::process::id().wrapping_mul(PORTS_APART) % u32::from(PORTS);
    loop {
        let offset = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let within = u16::try_from((base + offset) % u32::from(PORTS)).unwrap_or(0);
        let port = FIRST_PORT + within;
        if TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return format!("127.0.0.1:{port}");
        }
    }
}
