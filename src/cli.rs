//! The command line.

use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;

use crate::commands::{self, config_patch, demo, load, replicas};
use crate::config::document::key_hash;
use crate::error::{Error, Result};
use crate::ids::NodeId;
use crate::json_reader::most_similar;
use crate::load::workload::GAP_MEDIAN;
use crate::load::{Plan, Shape};
use crate::log::raft::Change;
use crate::queries::{self, burn, request};

const HELP: &str = "\
kumquatpost: serves language-model prompts that return after long gaps

usage: kumquatpost COMMAND [OPTIONS]

commands:
  serve --settings FILE          run a node
  entry                          take callers of a deployment on the platform's host
  replica                        keep the state of a deployment on the platform's host
  emulate --settings FILE        run stand-ins for targets and the platform
  demo                           run a node and stand-ins, send prompts, check the answers
  load                           send a workload to nodes and check the answers
  replicas add|promote|remove    change the replicas of the log
  config patch                   change the configuration
  key new FILE                   write a new key for the nodes
  key hash KEY                   show an account's key as the configuration holds it
queries:
  check-settings FILE            check settings of serve
  config get|history             show the configuration
  status                         show a node's status
  report burn                    report service-level burn over nodes
  report request ID --logs DIR   follow one request over the logs of all processes
  capacity                       measure slopes and work out the two-year size

`kumquatpost COMMAND --help` tells the options.
exit codes: 0 done, 1 failed, 2 wrong call, 3 invalid settings or configuration
";

const COMMANDS: &[&str] = &[
    "serve",
    "entry",
    "replica",
    "emulate",
    "demo",
    "load",
    "replicas",
    "config",
    "key",
    "check-settings",
    "status",
    "report",
    "capacity",
    "help",
];

const NODE_HELP: &str = "  --node URL     operators' address of a node, as http://IP:PORT\n";

/// A command, read from the command line.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Print a text.
    Print(String),
    /// Run a node.
    Serve(PathBuf),
    /// Take callers of a deployment.
    Entry,
    /// Keep the state of a deployment.
    Replica,
    /// Run stand-ins.
    Emulate(PathBuf),
    /// Run the demonstration.
    Demo(demo::Options),
    /// Send a workload.
    Load(load::Options),
    /// Change the replicas.
    Replicas(replicas::Options),
    /// Change the configuration.
    ConfigPatch(config_patch::Options),
    /// Write a new key.
    KeyNew(PathBuf),
    /// Show the hash of an account's key.
    KeyHash(String),
    /// Check settings.
    CheckSettings(PathBuf),
    /// Show the configuration.
    ConfigGet {
        /// Operators' address.
        node: String,
    },
    /// Show the last patches.
    ConfigHistory {
        /// Operators' address.
        node: String,
    },
    /// Show a node's status.
    Status {
        /// Operators' address.
        node: String,
    },
    /// Report service-level burn.
    Burn(burn::Options),
    /// Follow one request over logs.
    Request(request::Options),
    /// Measure slopes.
    Capacity,
}

/// Reads the command line.
///
/// # Errors
/// `Error::Usage` with what to do instead.
pub fn parse(arguments: Vec<OsString>) -> Result<Command> {
    let mut args = Arguments::from_vec(arguments);
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Print(format!("kumquatpost {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let wants_help = args.contains(["-h", "--help"]);
    let Some(name) = args.subcommand().map_err(usage)? else { return no_command(args, wants_help) };
    if wants_help {
        return Ok(Command::Print(help_of(&name)));
    }
    let (command, flags) = match name.as_str() {
        "help" => (Command::Print(HELP.into()), &[][..]),
        "serve" => (Command::Serve(args.value_from_str("--settings").map_err(usage)?), SETTINGS),
        "entry" => (Command::Entry, &[][..]),
        "replica" => (Command::Replica, &[][..]),
        "emulate" => {
            (Command::Emulate(args.value_from_str("--settings").map_err(usage)?), SETTINGS)
        }
        "demo" => (Command::Demo(demo_options(&mut args)?), DEMO),
        "load" => (Command::Load(load_options(&mut args)?), LOAD),
        "replicas" => (Command::Replicas(replicas_options(&mut args)?), NODE),
        "config" => config(&mut args)?,
        "key" => (key(&mut args)?, &[][..]),
        "check-settings" => (Command::CheckSettings(file(&mut args)?), &[][..]),
        "status" => (Command::Status { node: node(&mut args)? }, NODE),
        "report" => report(&mut args)?,
        "capacity" => (Command::Capacity, &[][..]),
        other => return Err(unknown("command", other, COMMANDS)),
    };
    match args.finish().first() {
        None => Ok(command),
        Some(rest) => Err(unknown("argument", &rest.to_string_lossy(), flags)),
    }
}

/// Runs a command.
///
/// # Errors
/// What stopped it.
pub fn run(command: Command) -> Result<()> {
    match command {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Serve(file) => commands::serve::run(&file),
        Command::Entry => commands::roles::entry(),
        Command::Replica => commands::roles::replica(),
        Command::Emulate(file) => commands::emulate::run(&file),
        Command::Demo(options) => demo::run(&options),
        Command::Load(options) => load::run(&options),
        Command::Replicas(options) => replicas::run(&options),
        Command::ConfigPatch(options) => config_patch::run(&options),
        Command::KeyNew(file) => commands::key_new::run(&file),
        Command::KeyHash(key) => {
            println!("{}", key_hash(&key));
            Ok(())
        }
        Command::CheckSettings(file) => queries::check_settings::run(&file),
        Command::ConfigGet { node } => queries::node::print(&node, "/v1/config"),
        Command::ConfigHistory { node } => queries::node::print(&node, "/v1/config/history"),
        Command::Status { node } => queries::node::print(&node, "/v1/status"),
        Command::Burn(options) => burn::run(&options),
        Command::Request(options) => request::run(&options),
        Command::Capacity => queries::capacity::run(),
    }
}

const SETTINGS: &[&str] = &["--settings"];
const NODE: &[&str] = &["--node"];
const DEMO: &[&str] = &["--seconds", "--seed", "--workload"];
const LOAD: &[&str] = &[
    "--node",
    "--platform",
    "--workload",
    "--rate",
    "--seconds",
    "--gap-ms",
    "--seed",
    "--json",
    "--print-emulator",
    "--print-config",
    "--policy",
];
const BURN: &[&str] = &["--node", "--json", "--svg"];
const REQUEST: &[&str] = &["--logs"];
const PATCH: &[&str] = &["--node", "--file", "--base", "--id"];

fn no_command(args: Arguments, wants_help: bool) -> Result<Command> {
    let rest = args.finish();
    match rest.first() {
        Some(rest) => Err(unknown("flag", &rest.to_string_lossy(), &["--help", "--version"])),
        None if wants_help => Ok(Command::Print(HELP.into())),
        None => Err(Error::Usage {
            message: "no command".into(),
            remedy: "name one; `kumquatpost --help` lists them".into(),
        }),
    }
}

fn demo_options(args: &mut Arguments) -> Result<demo::Options> {
    Ok(demo::Options {
        seconds: optional(args, "--seconds")?.unwrap_or(8.0),
        seed: optional(args, "--seed")?.unwrap_or(1),
        shape: shape(args)?,
    })
}

fn load_options(args: &mut Arguments) -> Result<load::Options> {
    let nodes = args.values_from_str("--node").map_err(usage)?;
    Ok(load::Options {
        nodes,
        platform: optional(args, "--platform")?,
        plan: Plan {
            shape: shape(args)?,
            rate: optional(args, "--rate")?.unwrap_or(50.0),
            seconds: optional(args, "--seconds")?.unwrap_or(20.0),
            gap: optional(args, "--gap-ms")?.map_or(GAP_MEDIAN, Duration::from_millis),
            seed: optional(args, "--seed")?.unwrap_or(1),
        },
        json: optional(args, "--json")?,
        policy: optional(args, "--policy")?.unwrap_or_else(|| "cost".to_string()),
        print_emulator: args.contains("--print-emulator"),
        print_config: args.contains("--print-config"),
    })
}

fn replicas_options(args: &mut Arguments) -> Result<replicas::Options> {
    let node = node(args)?;
    let verb: String = free(args, "add, promote or remove")?;
    let id: NodeId = free(args, "a node's number")?;
    let change = match verb.as_str() {
        "add" => Change::AddLearner(id),
        "promote" => Change::Promote(id),
        "remove" => Change::Remove(id),
        other => return Err(unknown("change", other, &["add", "promote", "remove"])),
    };
    Ok(replicas::Options { node, change })
}

fn config(args: &mut Arguments) -> Result<(Command, &'static [&'static str])> {
    let verb: String = free(args, "get, patch or history")?;
    match verb.as_str() {
        "get" => Ok((Command::ConfigGet { node: node(args)? }, NODE)),
        "history" => Ok((Command::ConfigHistory { node: node(args)? }, NODE)),
        "patch" => {
            let options = config_patch::Options {
                node: node(args)?,
                file: args.value_from_str("--file").map_err(usage)?,
                base: optional(args, "--base")?,
                patch_id: optional(args, "--id")?,
            };
            Ok((Command::ConfigPatch(options), PATCH))
        }
        other => Err(unknown("verb", other, &["get", "patch", "history"])),
    }
}

fn report(args: &mut Arguments) -> Result<(Command, &'static [&'static str])> {
    let verb: String = free(args, "burn or request")?;
    match verb.as_str() {
        "burn" => {
            let options = burn::Options {
                json: args.contains("--json"),
                svg: optional(args, "--svg")?,
                nodes: args.values_from_str("--node").map_err(usage)?,
            };
            Ok((Command::Burn(options), BURN))
        }
        "request" => {
            let options = request::Options {
                logs: args.value_from_str("--logs").map_err(usage)?,
                id: free(args, "the request's id")?,
            };
            Ok((Command::Request(options), REQUEST))
        }
        other => Err(unknown("report", other, &["burn", "request"])),
    }
}

fn key(args: &mut Arguments) -> Result<Command> {
    let verb: String = free(args, "new or hash")?;
    match verb.as_str() {
        "new" => Ok(Command::KeyNew(file(args)?)),
        "hash" => Ok(Command::KeyHash(free(args, "an account's bearer key")?)),
        other => Err(unknown("verb", other, &["new", "hash"])),
    }
}

fn shape(args: &mut Arguments) -> Result<Shape> {
    let name: String = optional(args, "--workload")?.unwrap_or_else(|| "gearworks".to_string());
    Shape::parse(&name).ok_or_else(|| unknown("workload", &name, &["gearworks", "portal"]))
}

fn node(args: &mut Arguments) -> Result<String> {
    args.value_from_str("--node").map_err(usage)
}

fn file(args: &mut Arguments) -> Result<PathBuf> {
    free::<String>(args, "a file").map(PathBuf::from)
}

fn free<T>(args: &mut Arguments, what: &str) -> Result<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    args.free_from_str().map_err(|error| Error::Usage {
        message: error.to_string(),
        remedy: format!("give {what}"),
    })
}

fn optional<T>(args: &mut Arguments, flag: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(flag).map_err(usage)
}

fn usage(error: pico_args::Error) -> Error {
    Error::Usage {
        message: error.to_string(),
        remedy: "`kumquatpost COMMAND --help` tells the options".into(),
    }
}

fn unknown(what: &str, name: &str, known: &[&str]) -> Error {
    let remedy = match most_similar(name, known) {
        Some(known) => format!("did you mean {known}?"),
        None if known.is_empty() => "leave it out".to_string(),
        None => format!("known are: {}", known.join(", ")),
    };
    Error::Usage { message: format!("unknown {what} {name:?}"), remedy }
}

fn help_of(command: &str) -> String {
    let options = match command {
        "entry" | "replica" => {
            "run one role of a deployment; the platform names its settings file in the environment\n"
                .into()
        }
        "serve" => "run a node\n  --settings FILE   settings in JSON, see examples/serve.json\n".into(),
        "emulate" => {
            "run stand-ins\n  --settings FILE   settings in JSON, see examples/emulate.json\n".into()
        }
        "demo" => "run a node and stand-ins in one process, send prompts, check the answers\n\
                   \x20 --workload NAME  gearworks (default) or portal\n\
                   \x20 --seconds S      how long prompts are sent, 8 if not given\n\
                   \x20 --seed N         seed of the workload, 1 if not given\n"
            .into(),
        "load" => "send a workload to nodes and check the answers\n\
                   \x20 --node URL          callers' address of a node; may be given more than once\n\
                   \x20 --platform URL      the emulator's address, to compare with what really ran\n\
                   \x20 --workload NAME     gearworks (default) or portal\n\
                   \x20 --rate R            requests a second, 50 if not given\n\
                   \x20 --seconds S         how long, 20 if not given\n\
                   \x20 --gap-ms MS         about how long a context stays away, 8000 if not given\n\
                   \x20 --seed N            seed, 1 if not given\n\
                   \x20 --policy NAME       policy in --print-config, cost if not given\n\
                   \x20 --json FILE         write the figures there\n\
                   \x20 --print-emulator    print settings of the emulator for the workload, and stop\n\
                   \x20 --print-config      print a configuration for the workload, and stop\n"
            .into(),
        "replicas" => format!("add N | promote N | remove N: change the replicas\n{NODE_HELP}"),
        "config" => format!(
            "get | history | patch: show or change the configuration\n{NODE_HELP}\
             \x20 --file FILE    patch: a JSON merge patch\n\
             \x20 --base N       patch: the number that it was made against; the newest if not given\n\
             \x20 --id ID        patch: give the same id to send a patch again; drawn if not given\n"
        ),
        "key" => "new FILE: write a new key for the nodes; no file may be there yet\n\
                  \x20 hash KEY: show an account's bearer key as the configuration holds it\n"
            .into(),
        "check-settings" => "FILE: check settings of serve, all errors at once\n".into(),
        "report" => "request ID: print the lines of a request, and what changed around it\n\
                     \x20 --logs DIR     a folder with one log file a process\n\
                     burn: report how fast error budgets are used up\n\
                     \x20 --node URL     operators' address of a node; may be given more than once\n\
                     \x20 --json         print JSON\n\
                     \x20 --svg FILE     write a plot there\n"
            .into(),
        "status" => format!("show a node's status\n{NODE_HELP}"),
        "capacity" => "measure slopes on this machine and print the table of docs/CAPACITY.md\n".into(),
        _ => return HELP.to_string(),
    };
    format!("kumquatpost {command}: {options}")
}
