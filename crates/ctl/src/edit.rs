//! The command `apply`.

use std::io::Write;
use std::path::Path;

use ggs_model::{
    DocumentRevision, EditAnswer, EditFaults, EditRequest, ServiceName, VersionedDocument,
};
use ggs_settings::SettingsFault;
use serde_json::json;

use crate::apply::{ForceReport, UndecidedEdit, new_edit_id, send_edit, wait_in_force};
use crate::client::EditOutcome;
use crate::command::ApplyOptions;
use crate::difference::difference;
use crate::execute::CommandRun;
use crate::file::DocumentFile;
use crate::{ExitKind, table};

impl<O: Write, E: Write> CommandRun<'_, O, E> {
    /// Changes a document.
    pub(crate) async fn apply(&mut self, apply: &ApplyOptions) -> ExitKind {
        let file = match self.read_file(&apply.file) {
            Ok(file) => file,
            Err(exit) => return exit,
        };
        let service = file.document.service.clone();
        let base = match apply.base.or_else(|| file.base()) {
            Some(base) => base,
            None => match self.present_revision(&service).await {
                Ok(base) => base,
                Err(exit) => return exit,
            },
        };
        let request = EditRequest {
            base,
            edit: apply.edit.unwrap_or_else(new_edit_id),
            text: file.text.clone(),
        };
        match send_edit(&self.client, &self.options.gates, &service, &request).await {
            Ok(EditOutcome::Accepted(answer)) => self.accepted(apply, &file, &answer).await,
            Ok(EditOutcome::Faulty(faults)) => self.faulty(&apply.file, &faults),
            Ok(EditOutcome::Conflict(conflict)) => {
                self.conflict(&file, base, conflict.current.as_ref(), &apply.file);
                ExitKind::Conflict
            }
            Err(undecided) => self.undecided(&undecided, &request),
        }
    }

    /// Prints the faults that a gate found.
    fn faulty(&mut self, path: &Path, faults: &EditFaults) -> ExitKind {
        if self.options.json {
            self.console.json(faults);
        }
        for fault in &faults.faults {
            let fault = SettingsFault {
                file: path.display().to_string(),
                line: fault.line,
                column: fault.column,
                field: fault.field.clone(),
                message: fault.message.clone(),
            };
            self.console.plain(fault);
        }
        ExitKind::Faults
    }

    /// The revision of the document as it stands, when the operator named none.
    async fn present_revision(
        &mut self,
        service: &ServiceName,
    ) -> Result<DocumentRevision, ExitKind> {
        let current = self.current(service).await?;
        let base = current.map_or(DocumentRevision(0), |current| current.revision);
        let message = format!(
            "no base revision in the file or --base; starting from revision {} as it stands now",
            base.0
        );
        self.console.message(message);
        Ok(base)
    }

    /// Prints that an edit is accepted, and waits until it is in force.
    async fn accepted(
        &mut self,
        apply: &ApplyOptions,
        file: &DocumentFile,
        answer: &EditAnswer,
    ) -> ExitKind {
        let EditAnswer {
            service,
            revision,
            repeated,
        } = answer;
        let when = if *repeated {
            "was accepted before"
        } else {
            "is accepted"
        };
        if !self.options.json {
            let line = format!(
                "document of \"{service}\" {when} as revision {}",
                revision.0
            );
            self.console.result(line);
        }
        let mut exit = ExitKind::Done;
        if apply.update_file
            && let Err(error) = file.update(*revision)
        {
            exit = self.file_error(&error);
        }
        if apply.wait.is_zero() {
            if self.options.json {
                self.console.json(&json!({ "accepted": answer }));
            }
            return exit;
        }
        let gates = &self.options.gates;
        let report = wait_in_force(&self.client, gates, service, *revision, apply.wait).await;
        self.print_report(answer, &report);
        if report.missing.is_empty() {
            exit
        } else {
            ExitKind::NotInForce
        }
    }

    /// Prints where an accepted edit is in force.
    fn print_report(&mut self, answer: &EditAnswer, report: &ForceReport) {
        let ForceReport { live, missing } = report;
        let count = live - missing.len();
        if self.options.json {
            let report = json!({
                "accepted": answer,
                "live": live,
                "in_force": count,
                "missing": missing,
            });
            self.console.json(&report);
            return;
        }
        let line = format!("in force on {count} of {live} live gates");
        self.console.result(line);
        for lag in missing {
            let lag = table::lag_text(lag);
            self.console.message(format_args!("not in force on {lag}"));
        }
    }

    /// Prints that another edit won, and what differs.
    fn conflict(
        &mut self,
        file: &DocumentFile,
        base: DocumentRevision,
        current: Option<&VersionedDocument>,
        path: &Path,
    ) {
        let revision = current.map_or(DocumentRevision(0), |current| current.revision);
        let text = difference(current, &path.display().to_string(), &file.document);
        if self.options.json {
            let conflict = json!({ "base": base, "current": current, "difference": text });
            self.console.json(&conflict);
        } else {
            self.console.result(text.trim_end());
        }
        let message = format!(
            "another edit won: the file starts from revision {}, the document is at revision {}; \
             nothing was written",
            base.0, revision.0
        );
        self.console.message(message);
    }

    /// Prints that no gate decided on an edit.
    fn undecided(&mut self, undecided: &UndecidedEdit, request: &EditRequest) -> ExitKind {
        self.print_errors(&undecided.errors);
        if undecided.exit == ExitKind::Unknown {
            let message = format!(
                "the edit may have been written; send the same one again with --edit {} --base {}",
                request.edit, request.base.0
            );
            self.console.message(message);
        }
        if self.options.json {
            let exit = undecided.exit.to_string();
            let (edit, base) = (request.edit, request.base);
            self.console
                .json(&json!({ "undecided": exit, "edit": edit, "base": base }));
        }
        undecided.exit
    }
}
