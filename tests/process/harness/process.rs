//! One child process, killed when dropped.

use std::fs::{self, File};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use super::{address, eventually};

const STANDIN: &str = env!("CARGO_BIN_EXE_oriolefork-standin");

/// What a stand-in prints before its address once it answers.
const READY: &str = "event=standin.ready";

/// A child process and its output.
pub struct Process {
    child: Child,
    program: String,
    args: Vec<String>,
    output: PathBuf,
}

/// A stand-in and its address.
pub struct Standin {
    /// Its process.
    pub process: Process,
    /// Where it answers.
    pub addr: SocketAddr,
}

impl Process {
    /// Starts `program`; its output goes to a file named after `name`.
    pub fn start(name: &str, program: &str, args: &[String]) -> Self {
        let output = output_path(name);
        let child = spawn(program, args, &output);
        Self { child, program: program.to_owned(), args: args.to_vec(), output }
    }

    /// Everything printed since the last start.
    pub fn output(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }

    /// Process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process where it stands, as a long pause would.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to end.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Ends the process at once.
    pub fn kill(&mut self) {
        self.child.kill().expect("kill a child");
        self.child.wait().expect("wait for a child");
    }

    /// Starts the process anew with the same arguments, after killing it.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.program, &self.args, &self.output);
    }

    /// How the process ended, once it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().expect("wait for a child")
    }

    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a pid");
        kill(Pid::from_raw(pid), signal).expect("signal a child");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the child has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Standin {
    /// Starts a stand-in and waits until it answers.
    pub fn start(role: &str, args: &[&str]) -> Self {
        let listen = format!("{}:0", address::unique());
        let mut all = vec![role.to_owned(), "--listen".to_owned(), listen];
        all.extend(args.iter().map(|arg| (*arg).to_owned()));
        let mut process = Process::start(role, STANDIN, &all);
        let addr = ready(&mut process);
        // A restart takes the same address again.
        process.args[2] = addr.to_string();
        Self { process, addr }
    }

    /// Kills the stand-in, starts it at the same address and waits until it answers.
    pub fn restart(&mut self) {
        self.process.restart();
        ready(&mut self.process);
    }
}

fn ready(process: &mut Process) -> SocketAddr {
    eventually("a stand-in answers", || {
        let output = process.output();
        assert!(process.ended().is_none(), "a stand-in ended: {output}");
        let line = output.lines().find(|line| line.starts_with(READY))?;
        line.split_once("addr=")?.1.parse().ok()
    })
}

fn spawn(program: &str, args: &[String], output: &Path) -> Child {
    let file = File::create(output).expect("create an output file");
    let errors = file.try_clone().expect("share an output file");
    let mut command = Command::new(program);
    command.args(args).stdin(Stdio::null()).stdout(file).stderr(errors);
    command.spawn().unwrap_or_else(|error| panic!("start {program}: {error}"))
}

fn output_path(name: &str) -> PathBuf {
    let file = format!("{name}-{}.log", address::unique());
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(file)
}
