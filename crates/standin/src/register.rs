//! Entry of a server in the platform's host list.

use std::io;

use awc::http::StatusCode;
use ggs_model::ServerEntry;

/// Enters a row in the host list of the stand-in platform at a base URL.
pub(crate) async fn register(platform: &str, entry: &ServerEntry) -> io::Result<()> {
    let url = format!("{}/admin/hosts", platform.trim_end_matches('/'));
    let client = awc::Client::default();
    let answer = client.put(&url).send_json(entry).await;
    let answer = answer.map_err(|error| io::Error::other(format!("{url}: {error}")))?;
    if answer.status() != StatusCode::OK {
        let status = answer.status();
        return Err(io::Error::other(format!(
            "{url}: answer has status {status}"
        )));
    }
    Ok(())
}
