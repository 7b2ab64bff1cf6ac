//! A whole deployment in one process: test doubles, two entry VMs and callers.

mod caller;
mod deployment;
mod scenarios;

pub use caller::{Caller, Reply, StreamEnd, StreamResult};
pub use deployment::{DeploymentError, LocalDeployment, OTHER_TOKEN, TOKEN};

use std::process::ExitCode;

/// Runs the demo; with `keep` it prints URLs for curl afterwards and keeps running.
pub async fn run(keep: bool) -> ExitCode {
    let deployment = match LocalDeployment::start(2, 2).await {
        Ok(deployment) => deployment,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let passed = scenarios::run_all(&deployment).await;
    if keep {
        println!("entry VMs:");
        for url in deployment.vm_urls() {
            println!("  {url}");
        }
        println!(
            "try: curl -N {}/v1/completions -H 'Authorization: Bearer {TOKEN}' \
             -d '{{\"model\":\"menus\",\"prompt\":\"A week of lunches\",\"stream\":true}}'",
            deployment.vm_urls()[0]
        );
        std::future::pending::<()>().await;
    }
    if passed {
        println!("all scenarios passed");
        ExitCode::SUCCESS
    } else {
        println!("some scenarios failed");
        ExitCode::FAILURE
    }
}
