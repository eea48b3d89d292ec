//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            started: Instant::now(),
        })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, line: &str) {
        let at = self.now().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {line}");
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, line: &str) {
        println!("{:9.3} {line}", self.now().as_secs_f64());
        self.note(line);
        let _ = self.file.lock().unwrap().flush();
    }
}
