//! Checks of names, addresses and URLs.

use std::net::SocketAddr;

use crate::field::FieldValue;
use crate::limits::{NAME_LIMIT_CHARS, URL_LIMIT_CHARS};
use crate::sheet::FaultSheet;

/// Scheme of a base URL.
const HTTP_SCHEME: &str = "http://";

/// Reads the name of a service or partner: it stands in URLs and row names.
pub(crate) fn read_label<T>(field: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>) -> Option<T>
where
    T: for<'t> From<&'t str>,
{
    let is_legal = |symbol: char| matches!(symbol, 'a'..='z' | '0'..='9' | '-');
    let expected = "letters a to z, digits and \"-\"";
    read_name(field, sheet, is_legal, expected)
}

/// Reads the name of a host or data centre.
pub(crate) fn read_host<T>(field: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>) -> Option<T>
where
    T: for<'t> From<&'t str>,
{
    let is_legal = |symbol: char| symbol.is_ascii_alphanumeric() || matches!(symbol, '-' | '.');
    let expected = "ASCII letters, digits, \"-\" and \".\"";
    read_name(field, sheet, is_legal, expected)
}

/// Reads a name of legal characters that starts with a letter or digit.
fn read_name<T>(
    field: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
    is_legal: impl Fn(char) -> bool,
    expected: &str,
) -> Option<T>
where
    T: for<'t> From<&'t str>,
{
    let name = field.text(sheet)?;
    let length = name.chars().count();
    if length == 0 || length > NAME_LIMIT_CHARS {
        let message = format!("expected 1 to {NAME_LIMIT_CHARS} characters, found {length}");
        field.fault(sheet, message);
        return None;
    }
    if let Some(symbol) = name.chars().find(|symbol| !is_legal(*symbol)) {
        field.fault(
            sheet,
            format!("character {symbol:?} is not one of {expected}"),
        );
        return None;
    }
    if !name.starts_with(|symbol: char| symbol.is_ascii_alphanumeric()) {
        field.fault(sheet, "does not start with a letter or digit".to_owned());
        return None;
    }
    Some(T::from(name))
}

/// Reads an IP address with a port that another host can connect to.
pub(crate) fn read_address(
    field: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
) -> Option<SocketAddr> {
    let text = field.text(sheet)?;
    let Ok(address) = text.parse::<SocketAddr>() else {
        let message =
            format!("expected an IP address and a port such as 10.0.0.1:8080, found {text:?}");
        field.fault(sheet, message);
        return None;
    };
    if address.ip().is_unspecified() {
        let message = format!(
            "others cannot connect to {}; name one address",
            address.ip()
        );
        field.fault(sheet, message);
        return None;
    }
    if address.port() == 0 {
        field.fault(
            sheet,
            "port 0 is not one that others can connect to".to_owned(),
        );
        return None;
    }
    Some(address)
}

/// Reads a base URL of the form `http://HOST:PORT`.
pub(crate) fn read_base_url(
    field: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
) -> Option<String> {
    let text = field.text(sheet)?;
    if let Err(cause) = check_base_url(text) {
        let message = format!("expected a URL such as http://10.0.0.1:9000: {cause}");
        field.fault(sheet, message);
        return None;
    }
    Some(text.to_owned())
}

/// Says what is wrong with a base URL.
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
    let is_legal = |symbol: char| symbol.is_ascii_alphanumeric() || matches!(symbol, '-' | '.');
    if host.is_empty() || !host.chars().all(is_legal) {
        return Err(format!("{host:?} is not a host name or an IP address"));
    }
    Ok(())
}
