//! Reads the platform: documents and the host list.

use std::rc::Rc;
use std::time::Duration;

use ggs_model::VersionedDocument;
use ggs_observe::LogEvent;
use ggs_store::{HostList, HttpPlatform, TableStore};

use crate::core::GateCore;

/// Time between two reads.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// Reads the platform until the gate ends.
pub(crate) async fn follow(core: Rc<GateCore>, platform: HttpPlatform) {
    loop {
        read_documents(&core, &platform).await;
        read_servers(&core, &platform).await;
        tokio::time::sleep(READ_PERIOD).await;
    }
}

/// Puts newer documents in force.
async fn read_documents(core: &GateCore, platform: &HttpPlatform) {
    let rows = match platform.list("documents/service/").await {
        Ok(rows) => rows,
        Err(error) => return platform_failed(core, &error),
    };
    for row in rows {
        match serde_json::from_value::<VersionedDocument>(row.value) {
            Ok(versioned) => {
                let revision = versioned.revision.0;
                if core.put_in_force(versioned) {
                    let pairs = slog::o!("row" => row.key, "revision" => revision);
                    core.log
                        .emit(LogEvent::DocumentInForce, "document came into force", pairs);
                }
            }
            Err(error) => {
                let pairs = slog::o!("row" => row.key, "cause" => error.to_string());
                core.log
                    .emit(LogEvent::DocumentInvalid, "document cannot be read", pairs);
            }
        }
    }
}

/// Takes a new host list.
async fn read_servers(core: &GateCore, platform: &HttpPlatform) {
    match platform.servers().await {
        Ok(listed) => core.set_listed(listed),
        Err(error) => platform_failed(core, &error),
    }
}

/// Logs a failed platform call.
fn platform_failed(core: &GateCore, error: &ggs_store::StoreError) {
    let pairs = slog::o!("cause" => error.to_string());
    core.log
        .emit(LogEvent::PlatformFailed, "platform call failed", pairs);
}
