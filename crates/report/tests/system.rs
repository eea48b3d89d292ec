//! `jasmine-report` queries real daemons.

use rig::{
    Layout,
    Rig, //
};
use serde_json::Value;
use std::{
    env,
    fs,
    io::{
        Read,
        Write, //
    },
    net::{
        TcpListener,
        TcpStream, //
    },
    process::{
        self,
        Command,
        Output,
        Stdio, //
    },
    thread, //
};

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_jasmine-report"))
        .env_remove("JASMINE_DAEMON")
        .env_remove("JASMINE_KEY")
        .env_remove("JASMINE_KEY_FILE")
        .args(args)
        .stdin(Stdio::null())
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Sends one request over a new connection and expects status 200.
fn send_request(rig: &Rig, id: &str) {
    let mut stream = TcpStream::connect(&rig.daemons[id].callers_addr).unwrap();
    let head = "GET /v1/work/menu/x HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 200"), "{}", text(&answer));
}

/// Guards against a report that silently omits an instance's failures. Two daemons handle requests,
/// then one is killed and later replaced. Counts are lost with their process, so the report has to
/// name the daemons that did not answer.
#[test]
fn the_report_counts_all_daemons_and_names_unanswered_ones() {
    let mut rig = Rig::start(Layout::one_region()).unwrap();
    for _ in 0..5 {
        send_request(&rig, "arusha-0");
        send_request(&rig, "arusha-1");
    }
    let daemon = rig.daemons["arusha-0"].operator_addr.clone();
    let json = |args: &[&str]| -> Value {
        let output = run(&[&["--daemon", &daemon, "--output", "json"], args].concat());
        assert!(output.status.success(), "{output:?}");
        serde_json::from_slice(&output.stdout).unwrap()
    };
    let report = json(&[]);
    let class = &report["classes"][0];
    assert_eq!(class["class"], "menu");
    assert_eq!(class["success_target_ppm"], 999_000);
    let hour = &class["windows"][3];
    let total = hour["good"].as_u64().unwrap() + hour["bad"].as_u64().unwrap();
    assert_eq!(total, 10, "{report}");
    assert_eq!(class["latency"]["count"], 10);
    assert_eq!(report["not_answered"], serde_json::json!([]));
    assert_eq!(json(&["--only"])["counted"].as_array().unwrap().len(), 1);

    rig.kill("arusha-1");
    let report = json(&[]);
    assert_eq!(report["counted"].as_array().unwrap().len(), 1);
    let unanswered = report["not_answered"][0]["daemon"].as_str().unwrap();
    assert!(unanswered.starts_with("arusha-1 ("), "{report}");
    assert_eq!(report["classes"][0]["latency"]["count"], 5);

    rig.start_daemon("arusha-1").unwrap();
    rig.wait_ready("arusha-1").unwrap();
    let report = json(&[]);
    assert_eq!(report["counted"].as_array().unwrap().len(), 2, "{report}");
    assert_eq!(
        report["classes"][0]["latency"]["count"], 5,
        "counts of the killed process are lost"
    );

    let output = run(&["--daemon", &daemon]);
    assert!(
        text(&output.stdout).contains("menu: 99.9% whole within 200 ms"),
        "{output:?}"
    );
    let output = run(&["--daemon", &daemon, "--output", "html"]);
    assert!(text(&output.stdout).contains("<svg"), "{output:?}");
}

/// Starts a server that answers every connection as a daemon of another release might.
fn start_other_release() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap().to_string();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let _ = stream.read(&mut [0; 8192]);
            let _ =
                stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 12\r\n\r\n{\"other\": 1}");
        }
    });
    addr
}

#[test]
fn bad_input_and_unusable_daemons_are_reported() {
    let other = start_other_release();
    let empty = env::temp_dir().join(format!("jasmine-report-{}.key", process::id()));
    fs::write(&empty, "\n").unwrap();
    let empty_key = empty.to_str().unwrap();
    for (args, code, message) in [
        (&[][..], 2, "--daemon"),
        (&["--daemon", "127.0.0.1:9"], 1, "127.0.0.1:9"),
        (&["--daemon", "127.0.0.1:9", "--only"], 1, "127.0.0.1:9"),
        (&["--daemon", "not an address"], 2, "HOST:PORT"),
        (&["--daemon", &other], 1, "of another release?"),
        (&["--daemon", &other, "--only"], 1, "of another release?"),
        (
            &["--daemon", "127.0.0.1:9", "--key-file", "/nowhere"],
            2,
            "/nowhere",
        ),
        (
            &["--daemon", "127.0.0.1:9", "--key-file", empty_key],
            2,
            "not a key",
        ),
    ] {
        let output = run(args);
        assert_eq!(output.status.code(), Some(code), "{args:?} {output:?}");
        assert!(
            text(&output.stderr).contains(message),
            "{args:?} {output:?}"
        );
        assert!(output.stdout.is_empty(), "{args:?}");
    }
    fs::remove_file(empty).unwrap();
}

/// Guards against a job that archives reports and doesn't notice that there is none. The report is
/// generated but its file can't be written, or the key is wrong: the exit code has to show it.
#[test]
fn write_errors_and_wrong_keys_are_reported() {
    let key = "the-operators-key-of-the-rig";
    let rig = Rig::start(Layout {
        operator_key: Some(key),
        ..Layout::one_region()
    })
    .unwrap();
    let daemon = rig.daemons["arusha-0"].operator_addr.clone();
    let file =
        |name: &str| env::temp_dir().join(format!("jasmine-report-{}-{name}", process::id()));
    let (right, wrong) = (file("right"), file("wrong"));
    fs::write(&right, key).unwrap();
    fs::write(&wrong, "another-key-of-the-same-sort").unwrap();
    let (right, wrong) = (right.to_str().unwrap(), wrong.to_str().unwrap());
    let run_on_daemon = |args: &[&str]| run(&[&["--daemon", &daemon], args].concat());
    for (args, code, message) in [
        (&["--key-file", right][..], 0, ""),
        (&["--key-file", right, "--to", "/dev/full"], 2, "/dev/full"),
        (
            &["--key-file", right, "--to", "/nowhere/x"],
            2,
            "/nowhere/x",
        ),
        (&["--key-file", wrong], 1, "key is missing or wrong"),
        (
            &["--key-file", wrong, "--only"],
            1,
            "key is missing or wrong",
        ),
        (&[], 1, "key is missing or wrong"),
    ] {
        let output = run_on_daemon(args);
        assert_eq!(output.status.code(), Some(code), "{args:?} {output:?}");
        let messages = text(&output.stderr);
        assert!(messages.contains(message), "{args:?} {output:?}");
        assert!(!messages.contains("another-key"), "{args:?} {output:?}");
        assert_eq!(output.stdout.is_empty(), code != 0, "{args:?}");
    }
    for file in [right, wrong] {
        fs::remove_file(file).unwrap();
    }
}
