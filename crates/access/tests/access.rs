//! Keys of callers: which credentials are accepted, and to whom they belong.

use ggs_access::{AccessError, AccessRefusal, AccessTable, KeyDigest, WorkspaceRule, find_key};
use ggs_limit::QuotaRule;

/// Credentials of a request and what is expected of them.
struct CredentialCase {
    name: &'static str,
    values: &'static [&'static [u8]],
    expected: Result<&'static [u8], AccessRefusal>,
}

#[test]
fn credentials_hold_exactly_one_key() {
    let malformed = Err(AccessRefusal::Malformed);
    let cases = [
        CredentialCase {
            name: "a key",
            values: &[b"Token k1"],
            expected: Ok(b"k1"),
        },
        CredentialCase {
            name: "other case",
            values: &[b"tOKEN k1"],
            expected: Ok(b"k1"),
        },
        CredentialCase {
            name: "spaces around",
            values: &[b"  Token   k1 "],
            expected: Ok(b"k1"),
        },
        CredentialCase {
            name: "none",
            values: &[],
            expected: Err(AccessRefusal::Missing),
        },
        CredentialCase {
            name: "two",
            values: &[b"Token k1", b"Token k2"],
            expected: malformed,
        },
        CredentialCase {
            name: "the same twice",
            values: &[b"Token k1", b"Token k1"],
            expected: malformed,
        },
        CredentialCase {
            name: "two in one value",
            values: &[b"Token k1, Token k2"],
            expected: malformed,
        },
        CredentialCase {
            name: "another scheme",
            values: &[b"Bearer k1"],
            expected: malformed,
        },
        CredentialCase {
            name: "no scheme",
            values: &[b"k1"],
            expected: malformed,
        },
        CredentialCase {
            name: "no key",
            values: &[b"Token "],
            expected: malformed,
        },
        CredentialCase {
            name: "empty",
            values: &[b""],
            expected: malformed,
        },
        CredentialCase {
            name: "not ASCII",
            values: &[b"Token k\xc3\xa4"],
            expected: malformed,
        },
        CredentialCase {
            name: "a tab inside",
            values: &[b"Token k1\tk2"],
            expected: malformed,
        },
        CredentialCase {
            name: "too long",
            values: &[&[b'T'; 8_192]],
            expected: malformed,
        },
    ];
    for case in cases {
        let found = find_key("Token", case.values.iter().copied());
        assert_eq!(found, case.expected.map(KeyDigest::of), "{}", case.name);
    }
    let long = [b"Token ".as_slice(), &vec![b'k'; 65_536]].concat();
    assert_eq!(
        find_key("Token", [long.as_slice()]),
        malformed.map(KeyDigest::of)
    );
}

/// A workspace with these keys.
fn rule(name: &str, keys: &[&str]) -> WorkspaceRule {
    WorkspaceRule {
        name: name.into(),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
        priority: None,
        quota: Some(QuotaRule {
            per_second: 3.0,
            burst: 6.0,
        }),
    }
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let table = AccessTable::new(vec![
        rule("a", &["k1", "k2"]),
        rule("b", &["k3"]),
        rule("c", &[]),
    ]);
    let table = table.unwrap();
    for (key, name) in [
        ("k1", Some("a")),
        ("k2", Some("a")),
        ("k3", Some("b")),
        ("k4", None),
    ] {
        let workspace = table.find(&KeyDigest::of(key.as_bytes()));
        assert_eq!(workspace.map(|workspace| &*workspace.name), name, "{key}");
    }
    assert!(table.named("c").is_some());
    assert_eq!(table.workspaces().count(), 3);
}

#[test]
fn workspaces_that_share_a_name_or_a_key_are_refused() {
    let shared = AccessTable::new(vec![rule("a", &["k1"]), rule("b", &["k1"])]);
    assert!(matches!(shared, Err(AccessError::SharedKey { name, .. }) if &*name == "b"));
    let twice = AccessTable::new(vec![rule("a", &["k1", "k1"])]);
    assert!(matches!(twice, Err(AccessError::SharedKey { .. })));
    let same = AccessTable::new(vec![rule("a", &["k1"]), rule("a", &["k2"])]);
    assert!(matches!(same, Err(AccessError::SameName { .. })));
}

#[test]
fn no_text_shows_a_key() {
    let key = "k-secret-4711";
    let shared = vec![rule("a", &[key]), rule("b", &[key])];
    let texts = [
        format!("{:?}", KeyDigest::of(key.as_bytes())),
        format!("{shared:?}"),
        format!("{:?}", AccessTable::new(vec![rule("a", &[key])])),
        AccessTable::new(shared).unwrap_err().to_string(),
    ];
    for text in texts {
        assert!(!text.contains("secret"), "{text}");
    }
}
