//! Reads the key from the credentials of a request.

use strum::{Display, IntoStaticStr};

use crate::KeyDigest;

/// Longest key in bytes. Longer ones are refused before they are hashed.
const MAX_KEY_BYTES: usize = 4_096;

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum AccessRefusal {
    /// It has no credentials.
    Missing,
    /// It has more than one key, or credentials of another scheme, or a key that no configuration can
    /// hold.
    Malformed,
    /// No workspace has its key.
    Unknown,
}

/// Finds the key in the values of a request's header for credentials, each of which is a `scheme` and a key.
/// Schemes are compared without regard to case.
///
/// # Errors
///
/// [`AccessRefusal::Missing`] or [`AccessRefusal::Malformed`], if there is no usable key.
///
/// ```
/// use ggs_access::{AccessRefusal, KeyDigest, find_key};
///
/// assert_eq!(find_key("Token", [b"token abc".as_slice()]), Ok(KeyDigest::of(b"abc")));
/// assert_eq!(find_key("Token", [b"Basic abc".as_slice()]), Err(AccessRefusal::Malformed));
/// assert_eq!(find_key("Token", []), Err(AccessRefusal::Missing));
/// ```
pub fn find_key<'a>(
    scheme: &str,
    values: impl IntoIterator<Item = &'a [u8]>,
) -> Result<KeyDigest, AccessRefusal> {
    let mut values = values.into_iter();
    let value = values.next().ok_or(AccessRefusal::Missing)?;
    if values.next().is_some() {
        return Err(AccessRefusal::Malformed);
    }
    let value = value.trim_ascii();
    let space = value.iter().position(|byte| *byte == b' ');
    let (own_scheme, key) = value.split_at(space.ok_or(AccessRefusal::Malformed)?);
    let key = key.trim_ascii();
    let is_key = !key.is_empty()
        && key.len() <= MAX_KEY_BYTES
        && key.iter().all(u8::is_ascii_graphic)
        && own_scheme.eq_ignore_ascii_case(scheme.as_bytes());
    if !is_key {
        return Err(AccessRefusal::Malformed);
    }
    Ok(KeyDigest::of(key))
}
