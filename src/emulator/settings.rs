//! Settings of the stand-ins.

use std::net::IpAddr;
use std::path::Path;

use serde_json::Value;

use crate::error::{Error, Result};
use crate::json_reader::ObjectReader;
use crate::settings::{log_settings, read_json};
use crate::telemetry::logs::LogSettings;

/// Settings of all stand-ins of one process.
#[derive(Clone, Debug, PartialEq)]
pub struct EmulatorSettings {
    /// The loopback address that all listen on.
    pub ip: IpAddr,
    /// Port of the platform's list; 0 for any free one.
    pub platform_port: u16,
    /// Engines.
    pub engines: Vec<EngineSettings>,
    /// Stores.
    pub stores: Vec<StoreSettings>,
    /// Instances of plain services.
    pub services: Vec<ServiceSettings>,
    /// How late the platform's list shows a change, in milliseconds.
    pub platform_lag_ms: u64,
    /// How long one weight load takes alone, in milliseconds; several at once share the rate.
    pub weight_load_ms: u64,
    /// Logging.
    pub log: LogSettings,
}

/// Settings of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Its id.
    pub id: String,
    /// Its model.
    pub model: String,
    /// The weight version that it starts with.
    pub weight_version: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Prefill rate in tokens a second.
    pub prefill_tokens_per_s: u64,
    /// Time between two tokens, in microseconds.
    pub token_us: u64,
    /// Largest batch.
    pub max_batch: u64,
    /// Tokens that its prefix cache holds.
    pub cache_tokens: u64,
    /// Bytes of KV cache a token.
    pub kv_bytes_per_token: u64,
    /// How old its load reports are, in milliseconds.
    pub load_lag_ms: u64,
    /// How late its cache events come, in milliseconds.
    pub event_lag_ms: u64,
    /// One event of this many is lost; 0 for none.
    pub event_loss_one_in: u64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it says that equal requests give equal answers.
    pub reproducible: bool,
}

/// Settings of one store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    /// Its id.
    pub id: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Bytes in memory; older objects lie on disk.
    pub memory_bytes: u64,
    /// Bytes in memory and on disk together.
    pub capacity_bytes: u64,
    /// Rate of its link in bytes a second.
    pub link_bytes_per_s: u64,
    /// Rate of its disk in bytes a second.
    pub disk_bytes_per_s: u64,
}

/// Settings of one instance of a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// Its id.
    pub id: String,
    /// The service.
    pub service: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// How long a call takes, in milliseconds.
    pub call_ms: u64,
}

impl EmulatorSettings {
    /// Reads and checks the settings in a file.
    ///
    /// # Errors
    /// `Error::Start` if the file can't be read, `Error::Invalid` with everything that is wrong.
    pub fn read(path: &Path) -> Result<EmulatorSettings> {
        EmulatorSettings::from_value(&read_json(path)?, &path.display().to_string())
    }

    /// Checks settings that were already parsed; `file` names them in errors.
    ///
    /// # Errors
    /// `Error::Invalid` with everything that is wrong.
    pub fn from_value(value: &Value, file: &str) -> Result<EmulatorSettings> {
        let mut problems = Vec::new();
        let mut fields = ObjectReader::new(value, "", &mut problems);
        let ip_text = fields.optional_text("ip").unwrap_or_else(|| "127.0.0.1".into());
        let ip = ip_text.parse().unwrap_or_else(|_| {
            fields.report("ip", format!("{ip_text:?} is not an address"), "give 127.0.0.1");
            IpAddr::from([127, 0, 0, 1])
        });
        if !ip.is_loopback() {
            let remedy = "give a loopback address: stand-ins are for one machine";
            fields.report("ip", format!("{ip} is not a loopback address"), remedy);
        }
        let settings = EmulatorSettings {
            ip,
            platform_port: fields.number("platform_port", 0, 0, u16::MAX.into()) as u16,
            engines: fields.list("engines", engine),
            stores: fields.list("stores", store),
            services: fields.list("services", service),
            platform_lag_ms: fields.number("platform_lag_ms", 100, 0, 600_000),
            weight_load_ms: fields.number("weight_load_ms", 300, 0, 600_000),
            log: fields.object("log", log_settings),
        };
        fields.finish();
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(Error::Invalid { file: file.to_string(), problems })
    }
}

const RATE_MAX: u64 = 1 << 50;

fn engine(mut fields: ObjectReader<'_>) -> EngineSettings {
    let settings = EngineSettings {
        id: fields.text("id", "name the engine"),
        model: fields.text("model", "name its model"),
        weight_version: fields.optional_text("weight_version").unwrap_or_else(|| "v1".into()),
        failure_domain: fields.text("failure_domain", "name its failure domain"),
        prefill_tokens_per_s: fields.number("prefill_tokens_per_s", 20_000, 1, RATE_MAX),
        token_us: fields.number("token_us", 2_000, 0, 60_000_000),
        max_batch: fields.number("max_batch", 16, 1, 100_000),
        cache_tokens: fields.number("cache_tokens", 32_768, 0, RATE_MAX),
        kv_bytes_per_token: fields.number("kv_bytes_per_token", 65_536, 1, RATE_MAX),
        load_lag_ms: fields.number("load_lag_ms", 100, 0, 600_000),
        event_lag_ms: fields.number("event_lag_ms", 100, 0, 600_000),
        event_loss_one_in: fields.number("event_loss_one_in", 50, 0, RATE_MAX),
        checks_fencing: fields.bool("checks_fencing", true),
        reproducible: fields.bool("reproducible", true),
    };
    fields.finish();
    settings
}

fn store(mut fields: ObjectReader<'_>) -> StoreSettings {
    let settings = StoreSettings {
        id: fields.text("id", "name the store"),
        failure_domain: fields.text("failure_domain", "name its failure domain"),
        memory_bytes: fields.number("memory_bytes", 4 << 30, 0, RATE_MAX),
        capacity_bytes: fields.number("capacity_bytes", 64 << 30, 0, RATE_MAX),
        link_bytes_per_s: fields.number("link_bytes_per_s", 4 << 30, 1, RATE_MAX),
        disk_bytes_per_s: fields.number("disk_bytes_per_s", 2 << 30, 1, RATE_MAX),
    };
    fields.finish();
    settings
}

fn service(mut fields: ObjectReader<'_>) -> ServiceSettings {
    let settings = ServiceSettings {
        id: fields.text("id", "name the instance"),
        service: fields.text("service", "name its service"),
        failure_domain: fields.text("failure_domain", "name its failure domain"),
        call_ms: fields.number("call_ms", 5, 0, 600_000),
    };
    fields.finish();
    settings
}
