//! Checks of the names, addresses and URLs in settings and documents.

use std::net::SocketAddr;

use crate::collector::FaultCollector;
use crate::field::FieldValue;
use crate::limits::{NAME_LIMIT_CHARS, URL_LIMIT_CHARS};

/// The only scheme that a base URL may have.
const HTTP_SCHEME: &str = "http://";

/// Reads the name of a service or partner.
///
/// Only lower-case letters, digits and "-" are allowed, as the name is part of URLs and of the
/// names of stored rows.
pub(crate) fn read_label<T>(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<T>
where
    T: for<'t> From<&'t str>,
{
    let is_allowed = |character: char| matches!(character, 'a'..='z' | '0'..='9' | '-');
    let expected = "letters a to z, digits and \"-\"";
    read_name(field, collector, is_allowed, expected)
}

/// Reads the name of a host or data centre.
pub(crate) fn read_host_name<T>(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<T>
where
    T: for<'t> From<&'t str>,
{
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '.');
    let expected = "ASCII letters, digits, \"-\" and \".\"";
    read_name(field, collector, is_allowed, expected)
}

/// Reads a name of allowed characters that starts with a letter or digit.
///
/// `expected` lists the allowed characters in the fault.
fn read_name<T>(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
    is_allowed: impl Fn(char) -> bool,
    expected: &str,
) -> Option<T>
where
    T: for<'t> From<&'t str>,
{
    let name = field.string(collector)?;
    let length = name.chars().count();
    if length == 0 || length > NAME_LIMIT_CHARS {
        let message = format!("expected 1 to {NAME_LIMIT_CHARS} characters, found {length}");
        field.add_fault(collector, message);
        return None;
    }
    if let Some(character) = name.chars().find(|character| !is_allowed(*character)) {
        field.add_fault(
            collector,
            format!("character {character:?} is not one of {expected}"),
        );
        return None;
    }
    if !name.starts_with(|character: char| character.is_ascii_alphanumeric()) {
        field.add_fault(
            collector,
            "does not start with a letter or digit".to_owned(),
        );
        return None;
    }
    Some(T::from(name))
}

/// Reads an IP address and a port to which another host can connect: neither the unspecified
/// address nor port 0.
pub(crate) fn read_address(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<SocketAddr> {
    let text = field.string(collector)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        let message =
            format!("expected an IP address and a port such as 10.0.0.1:8080, found {text:?}");
        field.add_fault(collector, message);
        return None;
    };
    if address.ip().is_unspecified() {
        let message = format!(
            "other hosts cannot connect to {}; set a specific address",
            address.ip()
        );
        field.add_fault(collector, message);
        return None;
    }
    if address.port() == 0 {
        field.add_fault(
            collector,
            "port 0 cannot be connected to; set a port from 1 to 65535".to_owned(),
        );
        return None;
    }
    Some(address)
}

/// Reads a base URL of the form `http://HOST:PORT`.
pub(crate) fn read_base_url(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<String> {
    let text = field.string(collector)?;
    if let Err(cause) = check_base_url(text) {
        let message = format!("expected a URL such as http://10.0.0.1:9000: {cause}");
        field.add_fault(collector, message);
        return None;
    }
    Some(text.to_owned())
}

/// Checks a base URL; the error says what is wrong with it.
fn check_base_url(text: &str) -> Result<(), String> {
    if text.len() > URL_LIMIT_CHARS {
        return Err(format!("it is longer than {URL_LIMIT_CHARS} characters"));
    }
    let Some(authority) = text.strip_prefix(HTTP_SCHEME) else {
        return Err(format!("it does not start with {HTTP_SCHEME}"));
    };
    if authority.contains(['/', '?', '#']) {
        return Err(
            "a path, query or fragment is not allowed, nor is a \"/\" at the end".to_owned(),
        );
    }
    if authority.contains('@') {
        return Err("a user name is not allowed".to_owned());
    }
    if authority
        .parse::<SocketAddr>()
        .is_ok_and(|address| address.port() != 0)
    {
        return Ok(());
    }
    let Some((host, port)) = authority.rsplit_once(':') else {
        return Err("the port is missing".to_owned());
    };
    if !port.parse::<u16>().is_ok_and(|port| port != 0) {
        return Err(format!("port {port:?} is not a number from 1 to 65535"));
    }
    let is_allowed =
        |character: char| character.is_ascii_alphanumeric() || matches!(character, '-' | '.');
    if host.is_empty() || !host.chars().all(is_allowed) {
        return Err(format!("{host:?} is not a host name or an IP address"));
    }
    Ok(())
}
