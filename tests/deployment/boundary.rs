//! The names of the platform's protocol are used only in `platform/`.

use std::path::{Path, PathBuf};

/// Headers of the platform, and field names of its settings, documents, lists and calls that are
/// unique to it.
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

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).expect("read the folder") {
        let path = entry.expect("read an entry").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else if path.extension().is_some_and(|ending| ending == "rs") {
            files.push(path);
        }
    }
}

#[test]
fn sources_outside_the_platform_folder_contain_no_platform_names() {
    let mut files = Vec::new();
    collect_sources(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), &mut files);
    assert!(files.len() > 50, "too few source files found");
    for file in files {
        let text = std::fs::read_to_string(&file).expect("read the source file").to_lowercase();
        for name in PLATFORM_NAMES {
            let name = name.to_lowercase();
            assert!(!text.contains(&name), "{}: {name}", file.display());
        }
    }
}
