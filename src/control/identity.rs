//! The durable identity of a replica, tied to its disk.
//!
//! The first replicas derive their ids from the seeds, so that all of them bootstrap with the same
//! voters without communicating. A replica whose disk was wiped gets a new random id: with its old
//! one, it could vote twice in a term or lose entries that it has acknowledged.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Write};
use std::net::IpAddr;
use std::path::Path;

use rand::RngExt;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::host::HostSettings;
use crate::ids::NodeId;

const IDENTITY_FILE: &str = "identity";
const LOG_FOLDER: &str = "replica";

/// The durable identity of a replica.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The id of the replica.
    pub node: NodeId,
    /// The replicas that bootstrapped the cluster, with their hosts; empty if this replica was not
    /// created at the first start of the cluster.
    pub founders: BTreeMap<NodeId, IpAddr>,
}

impl Identity {
    /// Reads the identity from disk, or creates and saves a new one.
    ///
    /// # Errors
    ///
    /// If the disk cannot be read or written.
    pub fn open(folder: &Path, host: &HostSettings) -> Result<Identity> {
        let remedy = "check the folder's owner, mount and free space";
        let failed = |source: io::Error| Error::start("data_folder", source, remedy);
        std::fs::create_dir_all(folder).map_err(failed)?;
        let path = folder.join(IDENTITY_FILE);
        let read = match std::fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes).ok(),
            Err(error) if error.kind() == io::ErrorKind::NotFound => None,
            Err(error) => return Err(failed(error)),
        };
        if let Some(identity) = read {
            return Ok(identity);
        }
        let identity = Identity::new(host);
        // Without an identity, an existing log may belong to another replica.
        match std::fs::remove_dir_all(folder.join(LOG_FOLDER)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => return Err(failed(error)),
            _ => {}
        }
        identity.save(folder).map_err(failed)?;
        Ok(identity)
    }

    /// The folder of the replica's log.
    pub fn log_folder(folder: &Path) -> std::path::PathBuf {
        folder.join(LOG_FOLDER)
    }

    fn new(host: &HostSettings) -> Identity {
        let founders = match host.is_first_start {
            true => host.seeds.iter().map(|seed| (founder_id(seed.ip()), seed.ip())).collect(),
            false => BTreeMap::new(),
        };
        let own = founder_id(host.ip);
        let node = if founders.contains_key(&own) { own } else { rand::rng().random() };
        Identity { node, founders }
    }

    fn save(&self, folder: &Path) -> io::Result<()> {
        let draft = folder.join(format!("{IDENTITY_FILE}.draft"));
        let mut file = File::create(&draft)?;
        file.write_all(&serde_json::to_vec(self)?)?;
        file.sync_all()?;
        std::fs::rename(&draft, folder.join(IDENTITY_FILE))?;
        File::open(folder)?.sync_all()
    }
}

/// The id of the bootstrap replica on a host.
fn founder_id(ip: IpAddr) -> NodeId {
    let hash = blake3::hash(ip.to_string().as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    NodeId::from_le_bytes(bytes)
}
