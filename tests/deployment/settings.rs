//! The platform's settings file.

use kumquatpost::platform::settings;
use serde_json::{Value, json};

use crate::fixtures::ms;

fn valid_settings() -> Value {
    json!({
        "NodeName": "core-1", "Ip": "10.1.0.35", "Zone": "hall",
        "Listen": {"Control": "10.1.0.35:8000"}, "PortRange": [7700, 7715],
        "Seeds": ["10.1.0.35:8000", "10.2.0.19:8000"], "FirstStart": true,
        "Limits": {"MemoryMb": 256, "MaxFds": 4096, "CpuShare": 0.6},
        "DataDir": "/data/x", "Cloud": {"Addr": "10.200.0.144:8007", "RatePerS": 44.0},
        "Tolerate": {"Machines": 2},
        "Bounds": {"GraceS": 8, "LeaseMs": 3000, "ThawMs": 300, "BudgetRatio": 0.2,
                   "BudgetWindowS": 10, "BudgetSlack": 56},
        "SomethingNew": [1, 2]
    })
}

#[test]
fn known_fields_are_read_and_unknown_ones_ignored() {
    let host = settings::decode(valid_settings().to_string().as_bytes()).expect("it is valid");
    assert_eq!(host.name, "core-1");
    assert_eq!(host.peer_port, 7_700);
    let deploy = include_str!("../../deploy/system.toml");
    let metrics_line = format!("metrics = \"{}/metrics\"", host.metrics_port);
    assert_eq!(
        deploy.matches(&metrics_line).count(),
        2,
        "deploy/system.toml must name the metrics port of both roles"
    );
    assert_eq!(host.seeds.len(), 2);
    assert_eq!(host.tolerated_losses, 2);
    assert_eq!(host.periods.min_order_interval, ms(3_300), "must be the sum of LeaseMs and ThawMs");
    assert_eq!(host.callers_address, None);
    assert!(host.is_first_start);
}

#[test]
fn a_missing_field_is_named_in_the_error() {
    for field in ["NodeName", "Ip", "Zone", "PortRange", "FirstStart", "Limits", "Bounds"] {
        let mut settings_json = valid_settings();
        settings_json.as_object_mut().expect("an object").remove(field);
        let error = settings::decode(settings_json.to_string().as_bytes()).expect_err(field);
        assert!(error.to_string().contains(field), "{field}: {error}");
    }
}

#[test]
fn invalid_values_are_rejected_with_their_line_and_column() {
    let invalid = [
        ("/Bounds/GraceS", json!(-1)),
        ("/Bounds/GraceS", json!(1e300)),
        ("/Bounds/BudgetWindowS", json!(-0.5)),
        ("/Bounds/LeaseMs", json!(u64::MAX)),
        ("/Bounds/ThawMs", json!("soon")),
        ("/Tolerate/Machines", json!(u64::MAX)),
        ("/PortRange", json!([7_700, 77_000])),
        ("/Cloud/Addr", json!("platform:80")),
    ];
    for (pointer, value) in invalid {
        let mut settings_json = valid_settings();
        *settings_json.pointer_mut(pointer).expect(pointer) = value.clone();
        let error =
            settings::decode(settings_json.to_string().as_bytes()).expect_err(pointer).to_string();
        assert!(error.contains("line 1 column"), "{pointer} {value}: {error}");
    }
}
