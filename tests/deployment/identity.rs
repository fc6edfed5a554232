//! Identity of a replica across restarts and disk loss.

use kumquatpost::control::identity::Identity;
use kumquatpost::host::HostSettings;
use kumquatpost::platform::settings;
use serde_json::json;

fn host_settings(ip: &str, is_first_start: bool) -> HostSettings {
    let file = json!({
        "NodeName": "core", "Ip": ip, "Zone": "hall", "PortRange": [7700, 7715],
        "Seeds": ["10.1.0.1:8000", "10.1.0.2:8000", "10.1.0.3:8000"],
        "FirstStart": is_first_start, "Limits": {"MemoryMb": 256, "MaxFds": 4096},
        "DataDir": null, "Cloud": null, "Bounds": {}
    });
    settings::decode(file.to_string().as_bytes()).expect("the settings are valid")
}

fn open_identity(host_settings: &HostSettings, folder: &std::path::Path) -> Identity {
    Identity::open(folder, host_settings).expect("the folder is writable")
}

#[test]
fn founders_agree_on_the_founder_set_without_communication() {
    let folders: Vec<_> = (0..4).map(|_| tempfile::tempdir().expect("a folder")).collect();
    let ips = ["10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"];
    let identities: Vec<Identity> = ips
        .iter()
        .zip(&folders)
        .map(|(ip, folder)| open_identity(&host_settings(ip, true), folder.path()))
        .collect();
    assert!(identities.windows(2).all(|pair| pair[0].founders == pair[1].founders));
    let is_founder = |identity: &Identity| identity.founders.contains_key(&identity.node);
    assert_eq!(identities.iter().map(is_founder).collect::<Vec<_>>(), [true, true, true, false]);
}

#[test]
fn an_identity_is_kept_across_restarts_and_lost_with_its_disk() {
    let folder = tempfile::tempdir().expect("a folder");
    let first = open_identity(&host_settings("10.1.0.1", true), folder.path());
    let again = open_identity(&host_settings("10.1.0.1", false), folder.path());
    assert_eq!(first, again, "restart with the same disk");
    let empty = tempfile::tempdir().expect("a folder");
    let replaced = open_identity(&host_settings("10.1.0.1", false), empty.path());
    assert_ne!(replaced.node, first.node, "votes and acknowledgements were lost with the disk");
    assert!(replaced.founders.is_empty(), "a replaced replica must not found a second system");
}

#[test]
fn a_log_with_a_torn_identity_file_is_removed() {
    let folder = tempfile::tempdir().expect("a folder");
    open_identity(&host_settings("10.1.0.1", true), folder.path());
    let log = Identity::log_folder(folder.path());
    std::fs::create_dir_all(&log).expect("a folder");
    std::fs::write(log.join("vote"), b"x").expect("a file");
    std::fs::write(folder.path().join("identity"), b"{torn").expect("a file");
    let torn = open_identity(&host_settings("10.1.0.1", false), folder.path());
    assert!(torn.founders.is_empty());
    assert!(!log.exists());
}
