//! The command-line interface: parses the arguments and runs the command.

use std::ffi::OsString;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;

use crate::commands::{self, config_patch, demo, load, replicas};
use crate::config::document::key_hash;
use crate::error::{Error, Result};
use crate::fleet::locality::BytePrice;
use crate::ids::NodeId;
use crate::json_reader::most_similar;
use crate::load::workload::DEFAULT_RETURN_GAP;
use crate::load::{WorkloadParameters, WorkloadProfile};
use crate::log::raft::Change;
use crate::queries::{self, burn, config_check, request};

const HELP: &str = "\
kumquatpost: serves language-model prompts that return after long gaps

usage: kumquatpost COMMAND [OPTIONS]

commands:
  serve --settings FILE          run a node
  entry                          serve callers of a deployment on a host of the platform
  replica                        keep the state of a deployment on a host of the platform
  emulate --settings FILE        run emulated targets and an emulated platform
  demo                           run a node and the emulator, send prompts, check the responses
  load                           send a workload to nodes and check the responses
  replicas add|promote|remove    change the replicas of the log
  config patch                   change the configuration
  key new FILE                   generate the key that nodes share
  key hash KEY                   show the hash of an account's key for the configuration
queries:
  check-settings FILE            validate settings of serve
  config get|history             show the configuration
  config check FILE              check a configuration before it is sent
  status                         show the status of a node
  report burn                    report error budget burn rates over nodes
  report request ID --logs DIR   find one request in the logs of all processes
  capacity                       measure costs and estimate loads at the planned scale

`kumquatpost COMMAND --help` lists the options.
exit codes: 0 success, 1 failure, 2 invalid command line, 3 invalid settings or configuration
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

#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    Print(String),
    /// Run a node.
    Serve(PathBuf),
    /// Serve callers of a deployment, with a price of traffic between failure domains.
    Entry(BytePrice),
    /// Keep the state of a deployment, with the same price.
    Replica(BytePrice),
    /// Run the emulator.
    Emulate(PathBuf),
    Demo(demo::Options),
    /// Send a workload.
    Load(load::Options),
    /// Change the replicas.
    Replicas(replicas::Options),
    ConfigPatch(config_patch::Options),
    KeyNew(PathBuf),
    /// Show the hash of an account's key.
    KeyHash(String),
    CheckSettings(PathBuf),
    ConfigGet {
        /// Operators' address.
        node: String,
    },
    /// Check a configuration file.
    ConfigCheck(config_check::Options),
    /// Show the last patches.
    ConfigHistory {
        /// Operators' address.
        node: String,
    },
    Status {
        /// Operators' address.
        node: String,
    },
    /// Report error budget burn rates.
    Burn(burn::Options),
    /// Find one request in logs.
    Request(request::Options),
    /// Measure costs and estimate loads.
    Capacity,
}

/// Parses the command line.
///
/// # Errors
/// `Error::Usage` with the remedy.
pub fn parse(arguments: Vec<OsString>) -> Result<Command> {
    let mut args = Arguments::from_vec(arguments);
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Print(format!("kumquatpost {}\n", env!("CARGO_PKG_VERSION"))));
    }
    let help = args.contains(["-h", "--help"]);
    let Some(name) = args.subcommand().map_err(usage_error)? else { return no_command(args, help) };
    if help {
        return Ok(Command::Print(command_help(&name)));
    }
    let (command, flags) = match name.as_str() {
        "help" => (Command::Print(HELP.into()), &[][..]),
        "serve" => (
            Command::Serve(args.value_from_str("--settings").map_err(usage_error)?),
            SETTINGS_FLAGS,
        ),
        "entry" => (Command::Entry(price_flag(&mut args)?), ROLE_FLAGS),
        "replica" => (Command::Replica(price_flag(&mut args)?), ROLE_FLAGS),
        "emulate" => (
            Command::Emulate(args.value_from_str("--settings").map_err(usage_error)?),
            SETTINGS_FLAGS,
        ),
        "demo" => (Command::Demo(parse_demo(&mut args)?), DEMO_FLAGS),
        "load" => (Command::Load(parse_load(&mut args)?), LOAD_FLAGS),
        "replicas" => (Command::Replicas(parse_replicas(&mut args)?), NODE_FLAGS),
        "config" => parse_config(&mut args)?,
        "key" => (parse_key(&mut args)?, &[][..]),
        "check-settings" => (Command::CheckSettings(file_argument(&mut args)?), &[][..]),
        "status" => (Command::Status { node: node_flag(&mut args)? }, NODE_FLAGS),
        "report" => parse_report(&mut args)?,
        "capacity" => (Command::Capacity, &[][..]),
        unknown => return Err(unknown_error("command", unknown, COMMANDS)),
    };
    match args.finish().first() {
        None => Ok(command),
        Some(unused) => Err(unknown_error("argument", &unused.to_string_lossy(), flags)),
    }
}

/// Runs a command.
///
/// # Errors
/// The error of the command.
pub fn run(command: Command) -> Result<()> {
    match command {
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
        Command::Serve(file) => commands::serve::run(&file),
        Command::Entry(price) => commands::deployment_role::run_entry(price),
        Command::Replica(price) => commands::deployment_role::run_replica(price),
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
        Command::ConfigGet { node } => queries::operator_client::print(&node, "/v1/config"),
        Command::ConfigHistory { node } => {
            queries::operator_client::print(&node, "/v1/config/history")
        }
        Command::ConfigCheck(options) => config_check::run(&options),
        Command::Status { node } => queries::operator_client::print(&node, "/v1/status"),
        Command::Burn(options) => burn::run(&options),
        Command::Request(options) => request::run(&options),
        Command::Capacity => queries::capacity::run(),
    }
}

const CROSS_DOMAIN_COST_FLAG: &str = "--cross-domain-cost-ms-per-mb";
const ROLE_FLAGS: &[&str] = &[CROSS_DOMAIN_COST_FLAG];
const SETTINGS_FLAGS: &[&str] = &["--settings"];
const NODE_FLAGS: &[&str] = &["--node"];
const DEMO_FLAGS: &[&str] = &["--seconds", "--seed", "--workload"];
const LOAD_FLAGS: &[&str] = &[
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
const BURN_FLAGS: &[&str] = &["--node", "--json", "--svg"];
const REQUEST_FLAGS: &[&str] = &["--logs"];
const CHECK_FLAGS: &[&str] = &["--against", "--json"];
const PATCH_FLAGS: &[&str] = &["--node", "--file", "--base", "--id"];

fn no_command(args: Arguments, help: bool) -> Result<Command> {
    let unused = args.finish();
    match unused.first() {
        Some(unused) => {
            Err(unknown_error("flag", &unused.to_string_lossy(), &["--help", "--version"]))
        }
        None if help => Ok(Command::Print(HELP.into())),
        None => Err(Error::Usage {
            message: "no command".into(),
            remedy: "name one; `kumquatpost --help` lists them".into(),
        }),
    }
}

fn parse_demo(args: &mut Arguments) -> Result<demo::Options> {
    Ok(demo::Options {
        seconds: optional_flag(args, "--seconds")?.unwrap_or(8.0),
        seed: optional_flag(args, "--seed")?.unwrap_or(1),
        profile: workload_flag(args)?,
    })
}

fn parse_load(args: &mut Arguments) -> Result<load::Options> {
    let nodes = args.values_from_str("--node").map_err(usage_error)?;
    Ok(load::Options {
        nodes,
        platform: optional_flag(args, "--platform")?,
        plan: WorkloadParameters {
            profile: workload_flag(args)?,
            requests_per_s: optional_flag(args, "--rate")?.unwrap_or(50.0),
            seconds: optional_flag(args, "--seconds")?.unwrap_or(20.0),
            return_gap: optional_flag(args, "--gap-ms")?
                .map_or(DEFAULT_RETURN_GAP, Duration::from_millis),
            seed: optional_flag(args, "--seed")?.unwrap_or(1),
        },
        json: optional_flag(args, "--json")?,
        policy: optional_flag(args, "--policy")?.unwrap_or_else(|| "cost".to_string()),
        print_emulator: args.contains("--print-emulator"),
        print_config: args.contains("--print-config"),
    })
}

fn parse_replicas(args: &mut Arguments) -> Result<replicas::Options> {
    let node = node_flag(args)?;
    let subcommand: String = positional(args, "add, promote or remove")?;
    let id: NodeId = positional(args, "a node's number")?;
    let change = match subcommand.as_str() {
        "add" => Change::AddLearner(id),
        "promote" => Change::Promote(id),
        "remove" => Change::Remove(id),
        unknown => return Err(unknown_error("change", unknown, &["add", "promote", "remove"])),
    };
    Ok(replicas::Options { node, change })
}

fn parse_config(args: &mut Arguments) -> Result<(Command, &'static [&'static str])> {
    let subcommand: String = positional(args, "get, patch, check or history")?;
    match subcommand.as_str() {
        "get" => Ok((Command::ConfigGet { node: node_flag(args)? }, NODE_FLAGS)),
        "history" => Ok((Command::ConfigHistory { node: node_flag(args)? }, NODE_FLAGS)),
        "check" => {
            let options = config_check::Options {
                against: optional_flag(args, "--against")?,
                json: args.contains("--json"),
                file: file_argument(args)?,
            };
            Ok((Command::ConfigCheck(options), CHECK_FLAGS))
        }
        "patch" => {
            let options = config_patch::Options {
                node: node_flag(args)?,
                file: args.value_from_str("--file").map_err(usage_error)?,
                base: optional_flag(args, "--base")?,
                patch_id: optional_flag(args, "--id")?,
            };
            Ok((Command::ConfigPatch(options), PATCH_FLAGS))
        }
        unknown => Err(unknown_error("subcommand", unknown, &["get", "patch", "check", "history"])),
    }
}

fn parse_report(args: &mut Arguments) -> Result<(Command, &'static [&'static str])> {
    let subcommand: String = positional(args, "burn or request")?;
    match subcommand.as_str() {
        "burn" => {
            let options = burn::Options {
                json: args.contains("--json"),
                svg: optional_flag(args, "--svg")?,
                nodes: args.values_from_str("--node").map_err(usage_error)?,
            };
            Ok((Command::Burn(options), BURN_FLAGS))
        }
        "request" => {
            let options = request::Options {
                logs: args.value_from_str("--logs").map_err(usage_error)?,
                id: positional(args, "the request's id")?,
            };
            Ok((Command::Request(options), REQUEST_FLAGS))
        }
        unknown => Err(unknown_error("report", unknown, &["burn", "request"])),
    }
}

fn parse_key(args: &mut Arguments) -> Result<Command> {
    let subcommand: String = positional(args, "new or hash")?;
    match subcommand.as_str() {
        "new" => Ok(Command::KeyNew(file_argument(args)?)),
        "hash" => Ok(Command::KeyHash(positional(args, "an account's bearer key")?)),
        unknown => Err(unknown_error("subcommand", unknown, &["new", "hash"])),
    }
}

/// The price of traffic between failure domains; 0 if it is not given.
fn price_flag(args: &mut Arguments) -> Result<BytePrice> {
    let Some(text) = optional_flag::<String>(args, CROSS_DOMAIN_COST_FLAG)? else {
        return Ok(BytePrice::default());
    };
    text.parse().ok().and_then(BytePrice::new).ok_or_else(|| Error::Usage {
        message: format!("{CROSS_DOMAIN_COST_FLAG} is {text:?}"),
        remedy: format!(
            "give a whole number of milliseconds per megabyte from 0 to {}",
            BytePrice::MAX_MS_PER_MB
        ),
    })
}

fn workload_flag(args: &mut Arguments) -> Result<WorkloadProfile> {
    let name: String =
        optional_flag(args, "--workload")?.unwrap_or_else(|| "gearworks".to_string());
    WorkloadProfile::parse(&name)
        .ok_or_else(|| unknown_error("workload", &name, &["gearworks", "portal"]))
}

fn node_flag(args: &mut Arguments) -> Result<String> {
    args.value_from_str("--node").map_err(usage_error)
}

fn file_argument(args: &mut Arguments) -> Result<PathBuf> {
    positional::<String>(args, "a file").map(PathBuf::from)
}

fn positional<T>(args: &mut Arguments, expected: &str) -> Result<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    args.free_from_str().map_err(|error| Error::Usage {
        message: error.to_string(),
        remedy: format!("give {expected}"),
    })
}

fn optional_flag<T>(args: &mut Arguments, flag: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(flag).map_err(usage_error)
}

fn usage_error(error: pico_args::Error) -> Error {
    Error::Usage {
        message: error.to_string(),
        remedy: "`kumquatpost COMMAND --help` lists the options".into(),
    }
}

fn unknown_error(kind: &str, name: &str, known: &[&str]) -> Error {
    let remedy = match most_similar(name, known) {
        Some(known) => format!("did you mean {known}?"),
        None if known.is_empty() => "leave it out".to_string(),
        None => format!("use one of: {}", known.join(", ")),
    };
    Error::Usage { message: format!("unknown {kind} {name:?}"), remedy }
}

fn command_help(command: &str) -> String {
    let options = match command {
        "entry" | "replica" => {
            "run one role of a deployment; the platform gives the settings file in the environment\n\
             \x20 --cross-domain-cost-ms-per-mb N  delay in ms that saving 1 MB of traffic between failure\n\
             \x20                                  domains is worth, 0 to 100000, 0 by default\n"
                .into()
        }
        "serve" => "run a node\n  --settings FILE   settings in JSON, see examples/serve.json\n".into(),
        "emulate" => {
            "run emulated targets and an emulated platform\n\
             \x20 --settings FILE   settings in JSON, see examples/emulate.json\n".into()
        }
        "demo" => "run a node and the emulator in one process, send prompts, check the responses\n\
                   \x20 --workload NAME  gearworks (default) or portal\n\
                   \x20 --seconds S      duration of the workload, 8 by default\n\
                   \x20 --seed N         seed of the workload, 1 by default\n"
            .into(),
        "load" => "send a workload to nodes and check the responses\n\
                   \x20 --node URL          callers' address of a node; may be given more than once\n\
                   \x20 --platform URL      address of the emulated platform, to compare with the requests that really ran\n\
                   \x20 --workload NAME     gearworks (default) or portal\n\
                   \x20 --rate R            requests per second, 50 by default\n\
                   \x20 --seconds S         duration of the workload, 20 by default\n\
                   \x20 --gap-ms MS         typical time between prompts of a context, 8000 by default\n\
                   \x20 --seed N            seed of the workload, 1 by default\n\
                   \x20 --policy NAME       routing policy in --print-config, cost by default\n\
                   \x20 --json FILE         write the figures to a file\n\
                   \x20 --print-emulator    only print settings of the emulator for the workload\n\
                   \x20 --print-config      only print a configuration for the workload\n"
            .into(),
        "replicas" => format!("add N | promote N | remove N: change the replicas\n{NODE_HELP}"),
        "config" => format!(
            "get | history | patch | check: show, change or check the configuration\n{NODE_HELP}\
             \x20 --file FILE    patch: a JSON merge patch\n\
             \x20 --base N       patch: number of the configuration it was made against, the newest by default\n\
             \x20 --id ID        patch: id, random by default; use the same one to retry a patch\n\
             \x20 check FILE     print errors, entries that can never match, and contradictory limits of a file;\n\
             \x20                exit code 0 without findings, 1 with findings, 2 if a file can't be read\n\
             \x20 --against FILE check: also print the differences from this version\n\
             \x20 --json         check: print JSON\n"
        ),
        "key" => "new FILE: generate the key that nodes share; the file must not exist\n\
                  \x20 hash KEY: show the hash of an account's bearer key for the configuration\n"
            .into(),
        "check-settings" => "FILE: validate settings of serve and print all problems\n".into(),
        "report" => "request ID: print the log lines of a request and the events around it\n\
                     \x20 --logs DIR     folder with one log file per process\n\
                     burn: report error budget burn rates\n\
                     \x20 --node URL     operators' address of a node; may be given more than once\n\
                     \x20 --json         print JSON\n\
                     \x20 --svg FILE     write a plot to a file\n"
            .into(),
        "status" => format!("show the status of a node\n{NODE_HELP}"),
        "capacity" => "measure costs on this machine and print the tables of docs/CAPACITY.md\n".into(),
        _ => return HELP.to_string(),
    };
    format!("kumquatpost {command}: {options}")
}
