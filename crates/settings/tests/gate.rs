//! Checks which faults gate settings have, and the position of each.

use ggs_settings::{SettingsFault, read_gate_settings};

/// Valid settings with the required fields only.
const BASE: &str = r#"{
  "host": "entry-1", // the host
  "data_centre": "krakow",
  "listen_callers": "127.0.0.1:8080",
  "listen_peers": "127.0.0.1:8081",
  "platform": "http://127.0.0.1:9000",
}"#;

/// A change to `BASE` and the faults that are expected after it.
struct FaultCase {
    name: &'static str,
    /// A part of `BASE`, and the text that replaces it.
    change: (&'static str, &'static str),
    /// Line, column, field path and a part of the message.
    faults: &'static [(usize, usize, &'static str, &'static str)],
}

const CASES: &[FaultCase] = &[
    FaultCase {
        name: "no fault",
        change: ("", ""),
        faults: &[],
    },
    FaultCase {
        name: "missing field",
        change: ("  \"host\": \"entry-1\", // the host\n", ""),
        faults: &[(1, 1, "host", "is missing")],
    },
    FaultCase {
        name: "unknown field",
        change: ("}", "  \"hots\": 1\n}"),
        faults: &[(7, 3, "hots", "unknown field; known fields are host, ")],
    },
    FaultCase {
        name: "field given twice",
        change: ("}", "  \"host\": \"entry-2\"\n}"),
        faults: &[(7, 3, "host", "given twice, first on line 2")],
    },
    FaultCase {
        name: "wrong type",
        change: ("\"entry-1\"", "[1]"),
        faults: &[(2, 11, "host", "expected a string, found an array")],
    },
    FaultCase {
        name: "invalid character in a host name",
        change: ("entry-1", "entry_1"),
        faults: &[(2, 11, "host", "character '_' is not one of")],
    },
    FaultCase {
        name: "empty host name",
        change: ("entry-1", ""),
        faults: &[(2, 11, "host", "expected 1 to 63 characters, found 0")],
    },
    FaultCase {
        name: "host name that starts with a dash",
        change: ("entry-1", "-entry"),
        faults: &[(2, 11, "host", "does not start with a letter or digit")],
    },
    FaultCase {
        name: "host name instead of an IP address",
        change: ("127.0.0.1:8080", "localhost:8080"),
        faults: &[(4, 21, "listen_callers", "expected an IP address and a port")],
    },
    FaultCase {
        name: "address without a port",
        change: ("127.0.0.1:8080", "127.0.0.1"),
        faults: &[(4, 21, "listen_callers", "expected an IP address and a port")],
    },
    FaultCase {
        name: "unspecified address",
        change: ("127.0.0.1:8080", "0.0.0.0:8080"),
        faults: &[(
            4,
            21,
            "listen_callers",
            "other hosts cannot connect to 0.0.0.0",
        )],
    },
    FaultCase {
        name: "port 0",
        change: ("127.0.0.1:8081", "127.0.0.1:0"),
        faults: &[(5, 19, "listen_peers", "port 0 cannot be connected to")],
    },
    FaultCase {
        name: "one address for callers and peers",
        change: ("127.0.0.1:8081", "127.0.0.1:8080"),
        faults: &[(5, 19, "listen_peers", "is that of listen_callers")],
    },
    FaultCase {
        name: "platform at the gate's own address",
        change: ("http://127.0.0.1:9000", "http://127.0.0.1:8081"),
        faults: &[(6, 15, "platform", "is that of listen_peers")],
    },
    FaultCase {
        name: "platform without a scheme",
        change: ("http://127.0.0.1:9000", "127.0.0.1:9000"),
        faults: &[(6, 15, "platform", "does not start with http://")],
    },
    FaultCase {
        name: "platform without a port",
        change: ("http://127.0.0.1:9000", "http://table.example"),
        faults: &[(6, 15, "platform", "the port is missing")],
    },
    FaultCase {
        name: "platform with a path",
        change: ("http://127.0.0.1:9000", "http://127.0.0.1:9000/"),
        faults: &[(
            6,
            15,
            "platform",
            "a path, query or fragment is not allowed",
        )],
    },
    FaultCase {
        name: "platform with an invalid host",
        change: ("http://127.0.0.1:9000", "http://ta ble:9000"),
        faults: &[(6, 15, "platform", "\"ta ble\" is not a host name")],
    },
    FaultCase {
        name: "platform with port 0",
        change: ("http://127.0.0.1:9000", "http://127.0.0.1:0"),
        faults: &[(6, 15, "platform", "port \"0\" is not a number")],
    },
    FaultCase {
        name: "peer listed twice",
        change: ("}", "  \"peers\": [\"127.0.0.1:1\", \"127.0.0.1:1\"]\n}"),
        faults: &[(7, 28, "peers[1]", "peer 127.0.0.1:1 is listed twice")],
    },
    FaultCase {
        name: "peer at the callers' address",
        change: ("}", "  \"peers\": [\"127.0.0.1:8080\"]\n}"),
        faults: &[(7, 13, "peers[0]", "is the address of listen_callers")],
    },
    FaultCase {
        name: "own address among the peers",
        change: ("}", "  \"peers\": [\"127.0.0.1:8081\"]\n}"),
        faults: &[],
    },
    FaultCase {
        name: "number out of range",
        change: ("}", "  \"entry_ttl_ms\": 0\n}"),
        faults: &[(7, 19, "entry_ttl_ms", "from 100 to 60000, found 0")],
    },
    FaultCase {
        name: "number that is not whole",
        change: ("}", "  \"key_limit\": 1.5\n}"),
        faults: &[(7, 16, "key_limit", "expected a whole number")],
    },
    FaultCase {
        name: "number too large for any integer type",
        change: ("}", "  \"body_limit\": 99999999999999999999999\n}"),
        faults: &[(7, 17, "body_limit", "expected a whole number")],
    },
    FaultCase {
        name: "null",
        change: ("}", "  \"key_ttl_ms\": null\n}"),
        faults: &[(7, 17, "key_ttl_ms", "found null")],
    },
    FaultCase {
        name: "policy by its name",
        change: ("}", "  \"server_choice\": \"least-in-flight\"\n}"),
        faults: &[],
    },
    FaultCase {
        name: "unknown policy",
        change: ("}", "  \"server_choice\": \"least\"\n}"),
        faults: &[(
            7,
            20,
            "server_choice",
            "expected one of signals, least-in-flight, found \"least\"",
        )],
    },
    FaultCase {
        name: "policy that is not a string",
        change: ("}", "  \"server_choice\": true\n}"),
        faults: &[(7, 20, "server_choice", "expected a string, found a boolean")],
    },
    FaultCase {
        name: "several faults, in the order of the text",
        change: (
            "\"data_centre\": \"krakow\",\n  \"listen_callers\": \"127.0.0.1:8080\"",
            "\"data_centre\": 5,\n  \"listen_callers\": \"x\",\n  \"zone\": \"a\"",
        ),
        faults: &[
            (3, 18, "data_centre", "expected a string, found a number"),
            (4, 21, "listen_callers", "expected an IP address"),
            (5, 3, "zone", "unknown field"),
        ],
    },
    FaultCase {
        name: "missing comma",
        change: ("\"krakow\",", "\"krakow\""),
        faults: &[(3, 26, "", "xpected comma")],
    },
    FaultCase {
        name: "unterminated object",
        change: ("\n}", ""),
        faults: &[(1, 1, "", "nterminated object")],
    },
    FaultCase {
        name: "columns count characters",
        change: ("\"krakow\"", "/* Kraków */ \"\""),
        faults: &[(3, 31, "data_centre", "found 0")],
    },
];

#[test]
fn every_fault_is_reported_with_its_position() {
    for case in CASES {
        let (from, to) = case.change;
        assert!(BASE.contains(from), "{}", case.name);
        let text = BASE.replacen(from, to, 1);
        let faults = faults_of(&text);
        assert_eq!(
            faults.len(),
            case.faults.len(),
            "{}: {faults:#?}",
            case.name
        );
        for (fault, expected) in faults.iter().zip(case.faults) {
            let (line, column, field, message) = *expected;
            assert_eq!((fault.line, fault.column), (line, column), "{}", case.name);
            assert_eq!(fault.field, field, "{}", case.name);
            assert!(fault.message.contains(message), "{}: {fault}", case.name);
        }
    }
}

#[test]
fn text_that_is_not_an_object_has_one_fault() {
    for text in [
        "",
        " // nothing\n",
        "[]",
        "5",
        "{} {}",
        "\u{feff}",
        "{\"a\": \"\\u12\"}",
    ] {
        assert_eq!(faults_of(text).len(), 1, "{text:?}");
    }
    let long = " ".repeat(ggs_settings::limits::TEXT_LIMIT_BYTES + 1);
    assert!(faults_of(&long)[0].message.contains("longer than"));
}

#[test]
fn fault_prints_its_file_position_and_field() {
    let text = BASE.replace("\"entry-1\"", "7");
    let error = read_gate_settings("etc/gate.json", &text).unwrap_err();
    let expected = "etc/gate.json:2:11: field \"host\": expected a string, found a number";
    assert_eq!(error.to_string(), expected);
}

/// Faults of a settings text.
fn faults_of(text: &str) -> Vec<SettingsFault> {
    let result = read_gate_settings("gate.json", text);
    result.err().map(|error| error.faults).unwrap_or_default()
}
