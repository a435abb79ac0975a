//! The manual.

use strum::IntoEnumIterator;

use crate::ExitKind;
use crate::command::CommandName;

/// The manual's first page, without the exit codes.
const MANUAL: &str = r"ggs-ctl - edit service documents and see what is in force

USAGE
    ggs-ctl COMMAND [OPERAND] [FLAGS]
    ggs-ctl COMMAND --help

COMMANDS
    check FILE     Check a document without asking any gate.
    apply FILE     Change a service's document.
    get SERVICE    Print a service's document.
    diff FILE      Show what differs between the document and a file.
    status         Show what each gate has in force.
    bill           Show what measuring cost, by partner and service.

FLAGS OF EVERY COMMAND
    -g, --gate ADDRESS   A gate, as IP:PORT. May be given again; gates are tried in
                         order. Without the flag, gates are read from the variable
                         GGS_GATES, separated by commas or blanks.
        --timeout SECS   Time after which a silent gate is given up and the next is
                         tried [default: 5].
        --json           Print the result as JSON on standard output.
    -h, --help           Print the manual of the program or of a command.
    -V, --version        Print the version.

Results go to standard output, messages to standard error.
";

/// The manual of `apply`.
const APPLY: &str = r"ggs-ctl apply FILE - change a service's document

The file is JSON with comments. It is checked here and again by the gate; every
fault is printed with line, column and field, and nothing is written.

A change starts from a revision of the document. The file names it in a comment
line, as `get` prints it:

    // revision: 7

If another edit was accepted since, that one has won: nothing is written, what
differs is shown, and the exit code is 4. Fetch the document again, redo the edit
and apply it. A file without the comment starts from the document as it stands.

Accepted means that the change is in the platform's table and cannot be lost. In
force means that a gate acts on it. After acceptance the command asks every live
gate until all have it in force, and names those that have not when the wait ends.

Each edit has an id. If no answer says what became of it, the command asks the
next gate with the same id, which takes effect at most once; if none knows, the
exit code is 8 and the message tells how to send the same edit again.

FLAGS
    --base REVISION   Start from this revision; 0 for a service without a document.
    --edit ID         Send the edit with this id, printed by an earlier call.
    --wait SECS       Longest wait for the change to be in force; 0 does not wait
                      [default: 15].
    --update-file     After acceptance, put the new revision into FILE's comment.
    --gate, --timeout, --json: see ggs-ctl --help.
";

/// The manual of `get`.
const GET: &str = r"ggs-ctl get SERVICE - print a service's document

Prints the accepted document with its revision in a comment, ready to be edited and
given to `apply`. With --json, prints an object with `revision` and `document`.
Comments of the file that was applied are not kept by the platform.

FLAGS
    --gate, --timeout, --json: see ggs-ctl --help.
";

/// The manual of `diff`.
const DIFF: &str = r"ggs-ctl diff FILE - show what differs between the document and a file

Prints a unified diff from the accepted document to the file. Comments, blanks, the
order of fields and fields that have their default value do not count. The exit code
is 0 without a difference and 10 with one.

FLAGS
    --gate, --timeout, --json: see ggs-ctl --help.
";

/// The manual of `check`.
const CHECK: &str = r"ggs-ctl check FILE - check a document without asking any gate

Prints every fault with file, line, column and field. Exit code 3 if there are any.

FLAGS
    --json: see ggs-ctl --help.
";

/// The manual of `status`.
const STATUS: &str = r"ggs-ctl status - show what each gate has in force

Asks the named gates, and the gates that these name, for what they have in force.

First table, a row for each gate:
    state        live, draining, stale (cut off from the table and from every gate
                 that reaches it), `live, no answer` (others hand it out to callers,
                 and it did not answer here), gone
    fleet        newest revision of any document that the gate knows
    table read   time since the gate last compared its documents with the table

Second table, a row for each service: the newest revision that any gate has in
force, how many live gates have it, and those that have not.

The exit code is 0 if every live gate has every document in force, else 5.

FLAGS
    --gate, --timeout, --json: see ggs-ctl --help.
";

/// The manual of `bill`.
const BILL: &str = r"ggs-ctl bill - show what measuring cost, by partner and service

    allowed   probes that the documents allowed
    granted   probes that gates took out of the budget before sending any; never
              less than the servers saw
    spent     probes that gates reported as sent

The table sums all days; --json prints each day.

FLAGS
    --gate, --timeout, --json: see ggs-ctl --help.
";

/// The manual of a command, or of the program with all exit codes.
pub(crate) fn manual(name: Option<CommandName>) -> String {
    let text = match name {
        Some(CommandName::Apply) => APPLY,
        Some(CommandName::Get) => GET,
        Some(CommandName::Diff) => DIFF,
        Some(CommandName::Check) => CHECK,
        Some(CommandName::Status) => STATUS,
        Some(CommandName::Bill) => BILL,
        None => return format!("{MANUAL}\n{}", exit_codes()),
    };
    text.trim_end().to_owned()
}

/// The list of exit codes.
fn exit_codes() -> String {
    let codes = ExitKind::iter().map(|kind| {
        let (code, meaning) = (kind.code(), kind.meaning());
        format!("    {code:>2}   {meaning}")
    });
    let codes: Vec<_> = codes.collect();
    format!("EXIT CODES\n{}", codes.join("\n"))
}
