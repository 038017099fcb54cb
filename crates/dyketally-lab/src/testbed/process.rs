//! Child processes: started from the binaries beside the lab's own, watched, signalled, ended.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, kill_process};
use tokio::process::{Child, Command};
use tokio::time::timeout;

/// A program of this project.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Program {
    /// The proxy daemon.
    Daemon,
    /// The operators' command.
    Command,
    /// The lab itself.
    Lab,
}

impl Program {
    fn file_name(self) -> &'static str {
        match self {
            Program::Daemon => "dyketallyd",
            Program::Command => "dyketally",
            Program::Lab => "dyketally-lab",
        }
    }
}

/// A signal that the lab sends to a child process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Asks for a planned stop.
    Terminate,
    /// Ends the process at once.
    Kill,
    /// Freezes the process.
    Stop,
    /// Thaws the process.
    Continue,
}

impl Signal {
    fn to_system(self) -> rustix::process::Signal {
        match self {
            Signal::Terminate => rustix::process::Signal::TERM,
            Signal::Kill => rustix::process::Signal::KILL,
            Signal::Stop => rustix::process::Signal::STOP,
            Signal::Continue => rustix::process::Signal::CONT,
        }
    }
}

/// A child process that can't be started or handled.
#[derive(Debug, thiserror::Error)]
pub enum LaunchError {
    /// The binary is missing.
    #[error("{0} is missing; build the whole workspace in the profile of the lab's own binary")]
    MissingBinary(PathBuf),
    /// The system refused to start or signal the process.
    #[error(
        "the process {name} could not be started or signalled; see the logs beside it: {error}"
    )]
    System {
        /// Name of the process.
        name: String,
        /// What the system said.
        error: io::Error,
    },
    /// The process still runs after the time it had to end.
    #[error("the process {0} did not end in time; see its log for what it waits for")]
    StillRunning(String),
}

/// Starts processes and keeps their logs in one directory.
#[derive(Clone, Debug)]
pub struct Launcher {
    binaries: PathBuf,
    logs: PathBuf,
}

impl Launcher {
    /// A launcher of the binaries beside the lab's own executable.
    ///
    /// # Errors
    /// When the directory of logs can't be made.
    pub fn new(logs: &Path) -> io::Result<Self> {
        let executable = std::env::current_exe()?;
        let mut binaries = executable
            .parent()
            .map(Path::to_path_buf)
            .unwrap_or_default();
        // Test programs are in a directory below that of the binaries.
        if binaries.ends_with("deps") {
            binaries.pop();
        }
        std::fs::create_dir_all(logs)?;
        let logs = logs.canonicalize()?;
        Ok(Self { binaries, logs })
    }

    /// The directory that holds the logs.
    pub fn logs(&self) -> &Path {
        &self.logs
    }

    /// The path of a program's binary.
    ///
    /// # Errors
    /// When it has not been built.
    pub fn binary(&self, program: Program) -> Result<PathBuf, LaunchError> {
        let path = self.binaries.join(program.file_name());
        if path.exists() {
            Ok(path)
        } else {
            Err(LaunchError::MissingBinary(path))
        }
    }

    /// Starts a process; its output is appended to `<name>.log`.
    ///
    /// # Errors
    /// When the binary is missing or the system refuses.
    pub fn start(
        &self,
        name: &str,
        program: Program,
        arguments: &[String],
    ) -> Result<ChildProcess, LaunchError> {
        let binary = self.binary(program)?;
        let log_path = self.logs.join(format!("{name}.log"));
        let system = |error| LaunchError::System {
            name: name.to_owned(),
            error,
        };
        let log = File::options()
            .create(true)
            .append(true)
            .open(log_path)
            .map_err(system)?;
        let error_log = log.try_clone().map_err(system)?;
        let child = Command::new(binary)
            .args(arguments)
            .current_dir(&self.logs)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error_log)
            .kill_on_drop(true)
            .spawn()
            .map_err(system)?;
        Ok(ChildProcess {
            name: name.to_owned(),
            child,
        })
    }
}

/// A running child process; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    name: String,
    child: Child,
}

impl ChildProcess {
    /// Its process id; none once it has ended.
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal. A process that has ended takes none.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn signal(&self, signal: Signal) -> Result<(), LaunchError> {
        let id = self.child.id().and_then(|id| i32::try_from(id).ok());
        let Some(pid) = id.and_then(Pid::from_raw) else {
            return Ok(());
        };
        kill_process(pid, signal.to_system()).map_err(|error| self.system(error.into()))
    }

    /// The exit status if the process has ended.
    ///
    /// # Errors
    /// When the system refuses.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>, LaunchError> {
        let waited = self.child.try_wait();
        waited.map_err(|error| self.system(error))
    }

    /// Waits until the process has ended, for at most `limit`.
    ///
    /// # Errors
    /// When it still runs then.
    pub async fn wait(&mut self, limit: Duration) -> Result<ExitStatus, LaunchError> {
        match timeout(limit, self.child.wait()).await {
            Ok(waited) => waited.map_err(|error| self.system(error)),
            Err(_) => Err(LaunchError::StillRunning(self.name.clone())),
        }
    }

    /// Kills the process and waits until it is gone.
    ///
    /// # Errors
    /// When the system refuses.
    pub async fn kill(&mut self) -> Result<(), LaunchError> {
        let killed = self.child.kill().await;
        killed.map_err(|error| self.system(error))
    }

    /// True when all threads of the process stand still; false where the system does not tell. A
    /// signal to stop takes effect a little after it was sent.
    pub fn is_stopped(&self) -> bool {
        let threads = self
            .child
            .id()
            .and_then(|id| std::fs::read_dir(format!("/proc/{id}/task")).ok());
        let Some(threads) = threads else {
            return false;
        };
        threads.flatten().all(|thread| {
            let stat = std::fs::read_to_string(thread.path().join("stat"));
            let state = stat.ok().and_then(|stat| {
                let after_name = stat.rsplit_once(')')?.1;
                after_name.trim_start().chars().next()
            });
            state == Some('T')
        })
    }

    /// Resident memory in bytes; none where the system does not tell.
    pub fn resident_memory(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()?)).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kibibytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kibibytes * 1024)
    }

    /// Processor time used so far, in clock ticks of 10 ms; none where the system does not tell.
    pub fn processor_ticks(&self) -> Option<u64> {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()?)).ok()?;
        let after_name = stat.rsplit_once(')')?.1;
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let user: u64 = fields.get(USER_TICKS_FIELD)?.parse().ok()?;
        let system: u64 = fields.get(USER_TICKS_FIELD + 1)?.parse().ok()?;
        Some(user + system)
    }

    fn system(&self, error: io::Error) -> LaunchError {
        LaunchError::System {
            name: self.name.clone(),
            error,
        }
    }
}

/// Place of the user time among the fields of `/proc/<id>/stat` after the process name.
const USER_TICKS_FIELD: usize = 11;
