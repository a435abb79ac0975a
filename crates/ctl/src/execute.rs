//! Carrying a command out.

use std::ffi::{OsStr, OsString};
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;

use ggs_model::{ServiceName, VersionedDocument};
use ggs_settings::print_document;
use serde_json::json;

use crate::apply::read_failure;
use crate::client::{GateClient, GateError};
use crate::command::{CtlCommand, CtlOptions, read_command};
use crate::difference::difference;
use crate::file::{DocumentFile, FileError, revision_comment};
use crate::fleet::FleetView;
use crate::{Console, ExitKind, help, table};

/// Carries out a command line, the program's own name first.
///
/// `gates` is the value of the environment variable [`GATES_VARIABLE`](crate::GATES_VARIABLE).
/// Must run inside an `actix_rt` system.
///
/// ```
/// use ggs_ctl::{Console, ExitKind};
///
/// let mut console = Console::new(Vec::new(), Vec::new());
/// let arguments = ["ggs-ctl", "--version"].map(Into::into);
/// let exit = actix_rt::System::new().block_on(ggs_ctl::execute(arguments, None, &mut console));
/// assert_eq!(exit, ExitKind::Done);
/// assert!(console.into_parts().0.starts_with(b"ggs-ctl "));
/// ```
pub async fn execute<O: Write, E: Write>(
    arguments: impl IntoIterator<Item = OsString>,
    gates: Option<&OsStr>,
    console: &mut Console<O, E>,
) -> ExitKind {
    let options = match read_command(arguments, gates) {
        Ok(options) => options,
        Err(error) => {
            console.message(error);
            console.message("run \"ggs-ctl --help\" for the manual");
            return ExitKind::Usage;
        }
    };
    let client = GateClient::new(options.timeout);
    let mut run = CommandRun {
        client,
        options: &options,
        console,
    };
    match &options.command {
        CtlCommand::Help(name) => run.help(*name),
        CtlCommand::Version => run.version(),
        CtlCommand::Check(path) => run.check(path),
        CtlCommand::Apply(apply) => run.apply(apply).await,
        CtlCommand::Get(service) => run.get(service).await,
        CtlCommand::Diff(path) => run.diff(path).await,
        CtlCommand::Status => run.status().await,
        CtlCommand::Bill => run.bill().await,
    }
}

/// One command being carried out.
pub(crate) struct CommandRun<'r, O, E> {
    pub(crate) client: GateClient,
    pub(crate) options: &'r CtlOptions,
    pub(crate) console: &'r mut Console<O, E>,
}

impl<O: Write, E: Write> CommandRun<'_, O, E> {
    /// Prints a manual.
    fn help(&mut self, name: Option<crate::command::CommandName>) -> ExitKind {
        self.console.result(help::manual(name));
        ExitKind::Done
    }

    /// Prints the version.
    fn version(&mut self) -> ExitKind {
        let version = env!("CARGO_PKG_VERSION");
        self.console.result(format_args!("ggs-ctl {version}"));
        ExitKind::Done
    }

    /// Checks a file.
    fn check(&mut self, path: &Path) -> ExitKind {
        match self.read_file(path) {
            Ok(file) => {
                let service = &file.document.service;
                if self.options.json {
                    self.console
                        .json(&json!({ "service": service, "faults": [] }));
                } else {
                    let path = path.display();
                    let line = format!("{path}: document of service \"{service}\" has no fault");
                    self.console.result(line);
                }
                ExitKind::Done
            }
            Err(exit) => exit,
        }
    }

    /// Reads a file, or prints what is wrong with it.
    pub(crate) fn read_file(&mut self, path: &Path) -> Result<DocumentFile, ExitKind> {
        DocumentFile::read(path).map_err(|error| self.file_error(&error))
    }

    /// Prints why a file gave no document.
    pub(crate) fn file_error(&mut self, error: &FileError) -> ExitKind {
        match error {
            FileError::Failed { path, cause } => {
                self.console
                    .message(format_args!("{}: {cause}", path.display()));
                ExitKind::FileFailed
            }
            FileError::Faulty(error) => {
                if self.options.json {
                    let faults = ggs_model::EditFaults::from(error.clone());
                    self.console.json(&faults);
                }
                self.console.plain(error);
                ExitKind::Faults
            }
        }
    }

    /// Asks one gate after the other until one answers.
    async fn ask_first<T>(
        &mut self,
        ask: impl AsyncFn(&GateClient, SocketAddr) -> Result<T, GateError>,
    ) -> Result<T, ExitKind> {
        let mut errors = Vec::new();
        for gate in &self.options.gates {
            match ask(&self.client, *gate).await {
                Ok(answer) => return Ok(answer),
                Err(error) => errors.push(error),
            }
        }
        self.print_errors(&errors);
        Err(read_failure(&errors))
    }

    /// Prints what the gates said.
    pub(crate) fn print_errors(&mut self, errors: &[GateError]) {
        for error in errors {
            self.console.message(error);
        }
    }

    /// The document as it stands.
    pub(crate) async fn current(
        &mut self,
        service: &ServiceName,
    ) -> Result<Option<VersionedDocument>, ExitKind> {
        self.ask_first(async |client: &GateClient, gate| client.document(gate, service).await)
            .await
    }

    /// Prints a document.
    async fn get(&mut self, service: &ServiceName) -> ExitKind {
        let current = match self.current(service).await {
            Ok(current) => current,
            Err(exit) => return exit,
        };
        let Some(current) = current else {
            self.console
                .message(format_args!("service \"{service}\" has no document"));
            return ExitKind::NoDocument;
        };
        if self.options.json {
            self.console.json(&current);
        } else {
            self.console.result(revision_comment(current.revision));
            self.console.result(print_document(&current.document));
        }
        ExitKind::Done
    }

    /// Compares a file with the document as it stands.
    async fn diff(&mut self, path: &Path) -> ExitKind {
        let file = match self.read_file(path) {
            Ok(file) => file,
            Err(exit) => return exit,
        };
        let current = match self.current(&file.document.service).await {
            Ok(current) => current,
            Err(exit) => return exit,
        };
        let name = path.display().to_string();
        let text = difference(current.as_ref(), &name, &file.document);
        let differs = !text.is_empty();
        if self.options.json {
            let revision = current.map(|current| current.revision);
            let answer = json!({ "revision": revision, "differs": differs, "difference": text });
            self.console.json(&answer);
        } else if differs {
            self.console.result(text.trim_end());
        }
        if differs {
            ExitKind::Differs
        } else {
            ExitKind::Done
        }
    }

    /// Prints what each gate has in force.
    async fn status(&mut self) -> ExitKind {
        let fleet = FleetView::ask(&self.client, &self.options.gates).await;
        let services = fleet.services();
        if self.options.json {
            self.console
                .json(&json!({ "gates": fleet.gates, "services": services }));
        } else {
            self.console.result(table::gate_table(&fleet));
            self.console.result("");
            self.console
                .result(table::service_table(&services, fleet.live_count()));
        }
        for failure in fleet.gates.iter().filter_map(|gate| gate.failure.as_ref()) {
            self.console.message(failure);
        }
        if !fleet.has_answer() {
            return ExitKind::NoGate;
        }
        let lags = services.iter().any(|view| !view.missing.is_empty());
        let silent = fleet
            .gates
            .iter()
            .any(|gate| gate.live && gate.status.is_none());
        if lags || silent {
            ExitKind::NotInForce
        } else {
            ExitKind::Done
        }
    }

    /// Prints what measuring cost.
    async fn bill(&mut self) -> ExitKind {
        let bill = self.ask_first(async |client: &GateClient, gate| client.bill(gate).await);
        match bill.await {
            Ok(bill) if self.options.json => self.console.json(&bill),
            Ok(bill) => self.console.result(table::bill_table(&bill)),
            Err(exit) => return exit,
        }
        ExitKind::Done
    }
}
