//! Runs the command, and the stand-ins that it talks to.

use std::fs;
use std::path::{Path, PathBuf};

use dyketally_lab::platform::{PlatformSettings, RunningPlatform, start};
use tokio::process::Command;

pub const OK: i32 = 0;
pub const CHECK_FAILED: i32 = 1;
pub const USAGE: i32 = 2;
pub const CONFLICT: i32 = 3;
pub const UNAVAILABLE: i32 = 4;
pub const UNKNOWN: i32 = 5;

/// How a run of the command ended.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Ran {
    #[track_caller]
    pub fn expect(self, code: i32) -> Self {
        assert_eq!(self.code, code, "{self:#?}");
        self
    }

    #[track_caller]
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.stdout).unwrap_or_else(|error| panic!("{error}: {self:#?}"))
    }

    #[track_caller]
    pub fn stdout_has(&self, parts: &[&str]) {
        has(&self.stdout, parts);
    }

    #[track_caller]
    pub fn stderr_has(&self, parts: &[&str]) {
        has(&self.stderr, parts);
    }
}

#[track_caller]
fn has(text: &str, parts: &[&str]) {
    for part in parts {
        assert!(text.contains(part), "{part:?} is not in {text}");
    }
}

/// Runs the command as the operator "anna" unless the arguments name another author.
pub async fn dyketally(arguments: &[&str]) -> Ran {
    let output = Command::new(env!("CARGO_BIN_EXE_dyketally"))
        .args(arguments)
        .env_remove("DYKETALLY_KEY_VALUE")
        .env("USER", "anna")
        .output()
        .await
        .expect("the command runs");
    Ran {
        code: output.status.code().expect("an exit code"),
        stdout: String::from_utf8(output.stdout).expect("text"),
        stderr: String::from_utf8(output.stderr).expect("text"),
    }
}

/// A stand-in of the platform, and the command pointed at it.
pub struct Platform {
    pub running: RunningPlatform,
    url: String,
}

impl Platform {
    pub async fn start() -> Self {
        let running = start(PlatformSettings::default())
            .await
            .expect("free ports");
        let url = running.addresses().gateway_url();
        Self { running, url }
    }

    pub fn url(&self) -> &str {
        &self.url
    }

    pub async fn run(&self, arguments: &[&str]) -> Ran {
        run_at(&self.url, arguments).await
    }

    /// Publishes a group, a template and a tenant: revision 3.
    pub async fn publish_examples(&self) {
        for arguments in [
            ["group", "set", "groups/lobby-1.toml"],
            ["template", "publish", "templates/lobby.toml"],
            ["tenant", "set", "tenants/racers-erie.toml"],
        ] {
            let [kind, verb, file] = arguments;
            self.run(&[kind, verb, &example(file)]).await.expect(OK);
        }
    }

    /// The revision of the configuration, as the command sees it.
    pub async fn revision(&self) -> u64 {
        let history = self.run(&["template", "history", "--output", "json"]).await;
        let history = history.expect(OK).json();
        history[0]["revision"].as_u64().unwrap_or(0)
    }
}

/// Runs the command against the key-value service at `url`.
pub async fn run_at(url: &str, arguments: &[&str]) -> Ran {
    let all = [arguments, &["--key-value", url]].concat();
    dyketally(&all).await
}

/// The path of a file under `examples/`.
pub fn example(file: &str) -> String {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    examples.join(file).display().to_string()
}

/// An example with `from` replaced by `to`, as a file of its own.
pub fn changed_example(name: &str, file: &str, from: &str, to: &str) -> String {
    let text = fs::read_to_string(example(file)).expect("example");
    assert!(text.contains(from), "{from:?} is not in {file}");
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}.toml"));
    fs::write(&path, text.replace(from, to)).expect("temporary file");
    path.display().to_string()
}
