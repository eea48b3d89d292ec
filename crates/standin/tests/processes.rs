//! Tests of the binaries: the addresses they print, their use together, and invalid arguments.

use std::{
    io::{
        BufRead,
        BufReader,
        Read,
        Write, //
    },
    net::TcpStream,
    process::{
        Child,
        Command,
        Stdio, //
    },
};

/// A child process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Starts a binary and reads the first `lines` lines of its output.
fn start(binary: &str, args: &[&str], lines: usize) -> (Process, Vec<String>) {
    let mut command = Command::new(binary);
    let mut child = command.args(args).stdout(Stdio::piped()).spawn().unwrap();
    let out = BufReader::new(child.stdout.take().unwrap());
    let process = Process(child);
    let output = out.lines().take(lines).map(Result::unwrap).collect();
    (process, output)
}

/// Sends a GET request and returns the whole response.
fn get(addr: &str, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

#[test]
fn binaries_work_together() {
    let platform_bin = env!("CARGO_BIN_EXE_standin-platform");
    let (_platform, output) = start(platform_bin, &["--listen", "127.0.0.1:0"], 1);
    let platform = output[0].strip_prefix("listening ").unwrap();
    let url = format!("http://{platform}");
    let fields = |id| format!("id={id},service=s,region=r,domain=d,slots=9");
    let (a, b) = (fields("a"), fields("b"));
    let args = ["--platform", &url, "--upstream", &a, "--upstream", &b];
    let upstream_bin = env!("CARGO_BIN_EXE_standin-upstream");
    let (_upstreams, output) = start(upstream_bin, &args, 3);
    let upstream = output[1].strip_prefix("listening b ").unwrap();
    assert!(output[2].starts_with("listening control "));
    let list = get(platform, "/list");
    assert!(list.contains(&format!(r#""addr":"{upstream}""#)), "{list}");
    let link_bin = env!("CARGO_BIN_EXE_standin-link");
    let (_link, output) = start(link_bin, &["--to", upstream, "--delay-us", "100"], 2);
    let link = output[0].strip_prefix("listening link ").unwrap();
    assert!(get(link, "/x").contains(r#""upstream":"b""#));
}

macro_rules! rejects_arguments {
    ($($name:ident: $binary:literal, $args:expr;)*) => { $(
        #[test]
        fn $name() {
            let mut command = Command::new(env!(concat!("CARGO_BIN_EXE_", $binary)));
            let status = command.args($args).stderr(Stdio::null()).status().unwrap();
            assert!(!status.success());
        }
    )* };
}

rejects_arguments! {
    unknown_field: "standin-upstream", ["--upstream", "id=a,service=s,region=r,domain=d,slot=9"];
    invalid_slots: "standin-upstream", ["--upstream", "id=a,service=s,region=r,domain=d,slots=x"];
    relay_without_target: "standin-link", ["--relay", "name=a"];
    missing_list_file: "standin-platform", ["--list", "/nonexistent/list.json"];
}
