//! Settings of the emulator.

use std::net::IpAddr;
use std::path::Path;

use serde_json::Value;

use crate::error::{Error, Result};
use crate::json_reader::ObjectReader;
use crate::settings::{parse_log_settings, read_json};
use crate::telemetry::logs::LogSettings;

#[derive(Clone, Debug, PartialEq)]
pub struct EmulatorSettings {
    /// The loopback address on which the emulator and all targets listen.
    pub ip: IpAddr,
    /// Port of the target list; 0 for any free port.
    pub platform_port: u16,
    pub engines: Vec<EngineSettings>,
    pub stores: Vec<StoreSettings>,
    pub services: Vec<ServiceSettings>,
    /// Delay before the target list shows a change, in milliseconds.
    pub platform_lag_ms: u64,
    /// Duration of a weight load in milliseconds. Concurrent loads share the bandwidth.
    pub weight_load_ms: u64,
    pub log: LogSettings,
}

#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    pub id: String,
    pub model: String,
    /// The weight version that is loaded at the start.
    pub weight_version: String,
    pub failure_domain: String,
    /// Prefill rate in tokens per second.
    pub prefill_tokens_per_s: u64,
    /// Time between two generated tokens, in microseconds.
    pub token_us: u64,
    /// Largest number of requests in the batch.
    pub max_batch: u64,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: u64,
    /// Size of the KV cache of a token in bytes.
    pub kv_bytes_per_token: u64,
    /// Age of the load reports in milliseconds.
    pub load_lag_ms: u64,
    /// Delay of the cache events in milliseconds.
    pub event_lag_ms: u64,
    /// Cache events whose number is a multiple of this are dropped; 0 for none.
    pub event_loss_one_in: u64,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether the engine reports that equal requests get equal answers.
    pub reproducible: bool,
}

#[derive(Clone, Debug, PartialEq)]
pub struct StoreSettings {
    pub id: String,
    pub failure_domain: String,
    /// Capacity of the memory tier in bytes. Less recently used objects are on disk.
    pub memory_bytes: u64,
    /// Total capacity in bytes, in memory and on disk.
    pub capacity_bytes: u64,
    /// Bandwidth of the link in bytes per second.
    pub link_bytes_per_s: u64,
    /// Bandwidth of the disk in bytes per second.
    pub disk_bytes_per_s: u64,
}

/// Settings of one service instance.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    pub id: String,
    pub service: String,
    pub failure_domain: String,
    /// Duration of a call in milliseconds.
    pub call_ms: u64,
}

impl EmulatorSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// `Error::Start` if the file can't be read, `Error::Invalid` with all problems found.
    pub fn read(path: &Path) -> Result<EmulatorSettings> {
        EmulatorSettings::from_value(&read_json(path)?, &path.display().to_string())
    }

    /// Validates settings that were already parsed. `file` is named in errors.
    ///
    /// # Errors
    /// `Error::Invalid` with all problems found.
    pub fn from_value(value: &Value, file: &str) -> Result<EmulatorSettings> {
        let mut problems = Vec::new();
        let mut fields = ObjectReader::new(value, "", &mut problems);
        let ip_text = fields.optional_text("ip").unwrap_or_else(|| "127.0.0.1".into());
        let ip = ip_text.parse().unwrap_or_else(|_| {
            fields.report("ip", format!("{ip_text:?} is not an IP address"), "give 127.0.0.1");
            IpAddr::from([127, 0, 0, 1])
        });
        if !ip.is_loopback() {
            let remedy = "give a loopback address: the emulator serves one machine only";
            fields.report("ip", format!("{ip} is not a loopback address"), remedy);
        }
        let settings = EmulatorSettings {
            ip,
            platform_port: fields.number("platform_port", 0, 0, u16::MAX.into()) as u16,
            engines: fields.list("engines", engine_settings),
            stores: fields.list("stores", store_settings),
            services: fields.list("services", service_settings),
            platform_lag_ms: fields.number("platform_lag_ms", 100, 0, 600_000),
            weight_load_ms: fields.number("weight_load_ms", 300, 0, 600_000),
            log: fields.object("log", parse_log_settings),
        };
        fields.finish();
        if problems.is_empty() {
            return Ok(settings);
        }
        Err(Error::Invalid { file: file.to_string(), problems })
    }
}

/// Upper bound of settings without a natural limit.
const MAX_QUANTITY: u64 = 1 << 50;

fn engine_settings(mut fields: ObjectReader<'_>) -> EngineSettings {
    let settings = EngineSettings {
        id: fields.text("id", "name the engine"),
        model: fields.text("model", "name its model"),
        weight_version: fields.optional_text("weight_version").unwrap_or_else(|| "v1".into()),
        failure_domain: fields.text("failure_domain", "name its failure domain"),
        prefill_tokens_per_s: fields.number("prefill_tokens_per_s", 20_000, 1, MAX_QUANTITY),
        token_us: fields.number("token_us", 2_000, 0, 60_000_000),
        max_batch: fields.number("max_batch", 16, 1, 100_000),
        cache_tokens: fields.number("cache_tokens", 32_768, 0, MAX_QUANTITY),
        kv_bytes_per_token: fields.number("kv_bytes_per_token", 65_536, 1, MAX_QUANTITY),
        load_lag_ms: fields.number("load_lag_ms", 100, 0, 600_000),
        event_lag_ms: fields.number("event_lag_ms", 100, 0, 600_000),
        event_loss_one_in: fields.number("event_loss_one_in", 50, 0, MAX_QUANTITY),
        checks_fencing: fields.bool("checks_fencing", true),
        reproducible: fields.bool("reproducible", true),
    };
    fields.finish();
    settings
}

fn store_settings(mut fields: ObjectReader<'_>) -> StoreSettings {
    let settings = StoreSettings {
        id: fields.text("id", "name the store"),
        failure_domain: fields.text("failure_domain", "name its failure domain"),
        memory_bytes: fields.number("memory_bytes", 4 << 30, 0, MAX_QUANTITY),
        capacity_bytes: fields.number("capacity_bytes", 64 << 30, 0, MAX_QUANTITY),
        link_bytes_per_s: fields.number("link_bytes_per_s", 4 << 30, 1, MAX_QUANTITY),
        disk_bytes_per_s: fields.number("disk_bytes_per_s", 2 << 30, 1, MAX_QUANTITY),
    };
    fields.finish();
    settings
}

fn service_settings(mut fields: ObjectReader<'_>) -> ServiceSettings {
    let settings = ServiceSettings {
        id: fields.text("id", "name the instance"),
        service: fields.text("service", "name its service"),
        failure_domain: fields.text("failure_domain", "name its failure domain"),
        call_ms: fields.number("call_ms", 5, 0, 600_000),
    };
    fields.finish();
    settings
}
