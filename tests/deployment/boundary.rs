//! The platform's names stay in its folder.

use std::path::{Path, PathBuf};

/// Field names of the platform's settings, documents, lists and calls that nothing else means, and
/// its headers.
const PLATFORM_NAMES: [&str; 26] = [
    "PathPrefix",
    "TimeoutMs",
    "SloMs",
    "GapTargetMs",
    "KvStoreAddr",
    "KvTokenBytes",
    "ApiKeys",
    "MaxHeaderBytes",
    "NextToken",
    "BootEpoch",
    "ColdLeftMs",
    "PortRange",
    "FirstStart",
    "BudgetSlack",
    "x-tenant",
    "x-expect-instance",
    "x-expect-version",
    "x-response-stamp",
    "x-prompt-prefix",
    "x-token-count",
    "x-kv-fetch",
    "x-kv-save",
    "x-cache-salt",
    "x-server-load",
    "x-instance-id",
    "version-put",
];

fn collect_sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("a folder") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, found);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn sources_outside_the_platform_folder_contain_no_platform_names() {
    let mut files = Vec::new();
    collect_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut files);
    assert!(files.len() > 50, "they were found");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("a file").to_lowercase();
        for name in PLATFORM_NAMES {
            let name = name.to_lowercase();
            assert!(!text.contains(&name), "{}: {name}", file.display());
        }
    }
}
