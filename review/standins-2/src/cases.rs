//! The cases.

mod crashing_request;
mod overlap;
mod removal;
mod slow_reader;
mod trials;

use crate::record::Record;
use crate::site::{Site, Vm};
use crate::store::Store;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

/// Plays a case; returns whether its rule was broken, or why it could not run.
pub fn play(case: &str, record: &Path, trouble: bool) -> Result<bool, String> {
    let record = Record::create(record).map_err(|error| error.to_string())?;
    let place = Place::create()?;
    match case {
        "crashing-request" => crashing_request::play(&record, &place, trouble),
        "overlap" => overlap::play(&record, &place, trouble),
        "removal" => removal::play(&record, &place, trouble),
        "trials" => trials::play(&record, &place, trouble),
        "slow-reader" => slow_reader::play(&record, &place, trouble),
        _ => Err(format!("no case {case}")),
    }
}

/// A temporary folder, removed when this is dropped.
pub struct Place(PathBuf);

impl Place {
    fn create() -> Result<Self, String> {
        let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
        Ok(Self(path))
    }

    /// Starts VMs, which read the store, and waits until they are in touch; fails unless all become ready.
    pub fn start_vms(&self, site: &Site, count: usize, store: &Store) -> Result<Vec<Vm>, String> {
        let vms: Vec<Vm> = (0..count)
            .map(|number| Vm::start(site, number, store, &self.0))
            .collect();
        if crate::site::wait_ready(&vms) {
            // They are in touch once they and the store were calm for this time.
            thread::sleep(site.contact + Duration::from_secs(1));
            Ok(vms)
        } else {
            Err("the VMs do not become ready".into())
        }
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}
