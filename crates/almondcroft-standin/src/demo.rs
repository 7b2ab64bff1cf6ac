//! The whole path in one process: stand-ins, two entry VMs, and what callers see.

mod caller;
mod scenes;
mod world;

pub use caller::{Caller, Reply, StreamEnd, Streamed};
pub use world::{OTHER_TOKEN, TOKEN, World, WorldError};

use std::process::ExitCode;

/// Runs the demo; with `keep` it stays up afterwards and prints addresses for curl.
pub async fn run(keep: bool) -> ExitCode {
    let world = match World::start(2, 2).await {
        Ok(world) => world,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let good = scenes::play(&world).await;
    if keep {
        println!("entry VMs:");
        for url in world.vm_urls() {
            println!("  {url}");
        }
        println!(
            "try: curl -N {}/v1/completions -H 'Authorization: Bearer {TOKEN}' \
             -d '{{\"model\":\"menus\",\"prompt\":\"A week of lunches\",\"stream\":true}}'",
            world.vm_urls()[0]
        );
        std::future::pending::<()>().await;
    }
    if good {
        println!("all of it held");
        ExitCode::SUCCESS
    } else {
        println!("something did not hold");
        ExitCode::FAILURE
    }
}
