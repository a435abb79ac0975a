//! Parsing of the gate's command line.

use ggs_gate::{GateCommand, read_command_line};
use ggs_observe::LogFormat;

/// A command line without the program's name, and the command or error that it must give.
struct CommandCase {
    arguments: &'static str,
    expected: Result<GateCommand, &'static str>,
}

/// Returns the command that runs a gate with `gate.json`.
fn run(log: LogFormat) -> GateCommand {
    let config = "gate.json".into();
    GateCommand::Run { config, log }
}

#[test]
fn wrong_flags_are_rejected_with_the_reason() {
    let check = GateCommand::Check {
        config: "gate.json".into(),
    };
    let case = |arguments, expected| CommandCase {
        arguments,
        expected,
    };
    let cases = [
        case("--config gate.json", Ok(run(LogFormat::Json))),
        case("--config=gate.json --log json", Ok(run(LogFormat::Json))),
        case("--log off --config gate.json", Ok(run(LogFormat::Off))),
        case("--check gate.json", Ok(check)),
        case("--help", Ok(GateCommand::Help)),
        case("-h --config gate.json", Ok(GateCommand::Help)),
        case("--version", Ok(GateCommand::Version)),
        case("-V", Ok(GateCommand::Version)),
        case("", Err("--config FILE or --check FILE is required")),
        case(
            "--log off",
            Err("--config FILE or --check FILE is required"),
        ),
        case("--config", Err("missing argument for option '--config'")),
        case(
            "--config a --config b",
            Err("--config is given more than once"),
        ),
        case(
            "--config a --check b",
            Err("--config and --check cannot be used together"),
        ),
        case(
            "--config a --log text",
            Err("--log: expected json or off, found \"text\""),
        ),
        case(
            "--check a --log off",
            Err("--log cannot be used with --check"),
        ),
        case("--conf a", Err("invalid option '--conf'")),
        case("gate.json", Err("unexpected argument \"gate.json\"")),
    ];
    for case in cases {
        let arguments = case.arguments.split_whitespace().map(Into::into);
        let arguments = std::iter::once("ggs-gate".into()).chain(arguments);
        let command = read_command_line(arguments).map_err(|error| error.to_string());
        let expected = case.expected.map_err(str::to_owned);
        assert_eq!(command, expected, "{}", case.arguments);
    }
}
