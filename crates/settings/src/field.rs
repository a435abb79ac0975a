//! Fields of the syntax tree, read one by one.
//!
//! The tree is read by hand and not through `serde`, which stops at the first fault and does not
//! know where in the text a value stands.

use std::ops::RangeInclusive;
use std::str::FromStr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use strum::IntoEnumIterator;

use crate::sheet::FaultSheet;

/// A value with the path of its field.
#[derive(Debug)]
pub(crate) struct FieldValue<'v, 'a> {
    value: &'v Value<'a>,
    path: String,
}

impl<'v, 'a> FieldValue<'v, 'a> {
    /// The outermost value of a text.
    pub(crate) const fn root(value: &'v Value<'a>) -> Self {
        let path = String::new();
        Self { value, path }
    }

    /// Adds a fault of this field.
    pub(crate) fn fault(&self, sheet: &mut FaultSheet<'_>, message: String) {
        sheet.add(self.offset(), &self.path, message);
    }

    /// Byte offset of the value in the text.
    pub(crate) fn offset(&self) -> usize {
        self.value.start()
    }

    /// Reads a text.
    pub(crate) fn text(&self, sheet: &mut FaultSheet<'_>) -> Option<&'v str> {
        let Value::StringLit(text) = self.value else {
            self.wrong_type(sheet, "a string");
            return None;
        };
        Some(&text.value)
    }

    /// Reads the name of one of a type's values.
    pub(crate) fn name<T>(&self, sheet: &mut FaultSheet<'_>) -> Option<T>
    where
        T: FromStr + IntoEnumIterator + Into<&'static str>,
    {
        let name = self.text(sheet)?;
        let value = name.parse().ok();
        if value.is_none() {
            let names: Vec<_> = T::iter().map(Into::into).collect();
            let expected = names.join(", ");
            self.fault(sheet, format!("expected one of {expected}, found {name:?}"));
        }
        value
    }

    /// Reads `true` or `false`.
    pub(crate) fn flag(&self, sheet: &mut FaultSheet<'_>) -> Option<bool> {
        let Value::BooleanLit(flag) = self.value else {
            self.wrong_type(sheet, "true or false");
            return None;
        };
        Some(flag.value)
    }

    /// Reads a whole number within `range`.
    pub(crate) fn number(
        &self,
        sheet: &mut FaultSheet<'_>,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let (low, high) = (range.start(), range.end());
        let expected = format!("a whole number from {low} to {high}");
        let Value::NumberLit(number) = self.value else {
            self.wrong_type(sheet, &expected);
            return None;
        };
        let parsed = number.value.parse().ok();
        let parsed = parsed.filter(|value| range.contains(value));
        if parsed.is_none() {
            self.fault(
                sheet,
                format!("expected {expected}, found {}", number.value),
            );
        }
        parsed
    }

    /// Reads a whole number within `range` that fits 32 bits.
    pub(crate) fn small_number(
        &self,
        sheet: &mut FaultSheet<'_>,
        range: &RangeInclusive<u64>,
    ) -> Option<u32> {
        let number = self.number(sheet, range)?;
        u32::try_from(number).ok()
    }

    /// Reads the elements of an array of at most `limit` elements.
    pub(crate) fn elements(
        &self,
        sheet: &mut FaultSheet<'_>,
        limit: usize,
    ) -> Option<Vec<FieldValue<'v, 'a>>> {
        let Value::Array(array) = self.value else {
            self.wrong_type(sheet, "an array");
            return None;
        };
        let count = array.elements.len();
        if count > limit {
            self.fault(
                sheet,
                format!("expected at most {limit} elements, found {count}"),
            );
            return None;
        }
        let elements = array.elements.iter().enumerate();
        let elements = elements.map(|(index, value)| FieldValue {
            value,
            path: format!("{}[{index}]", self.path),
        });
        Some(elements.collect())
    }

    /// Reads an object.
    pub(crate) fn object(&self, sheet: &mut FaultSheet<'_>) -> Option<ObjectReader<'v, 'a>> {
        let Value::Object(object) = self.value else {
            self.wrong_type(sheet, "an object");
            return None;
        };
        let path = self.path.clone();
        let known = Vec::new();
        Some(ObjectReader {
            object,
            path,
            known,
        })
    }

    /// Adds a fault for a value of another type than expected.
    fn wrong_type(&self, sheet: &mut FaultSheet<'_>, expected: &str) {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        self.fault(sheet, format!("expected {expected}, found {found}"));
    }
}

/// Reads the fields of one object and notes which are known.
#[derive(Debug)]
pub(crate) struct ObjectReader<'v, 'a> {
    object: &'v Object<'a>,
    path: String,
    known: Vec<&'static str>,
}

impl<'v, 'a> ObjectReader<'v, 'a> {
    /// Reads a field that must be there.
    pub(crate) fn required<T>(
        &mut self,
        sheet: &mut FaultSheet<'_>,
        name: &'static str,
        parse: impl FnOnce(&FieldValue<'v, 'a>, &mut FaultSheet<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(field) = self.field(name) else {
            let path = self.path_of(name);
            let message = format!("required field \"{name}\" is missing");
            sheet.add(self.object.start(), &path, message);
            return None;
        };
        parse(&field, sheet)
    }

    /// Reads a field that has a default.
    pub(crate) fn optional<T>(
        &mut self,
        sheet: &mut FaultSheet<'_>,
        name: &'static str,
        default: T,
        parse: impl FnOnce(&FieldValue<'v, 'a>, &mut FaultSheet<'_>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(field) => parse(&field, sheet),
            None => Some(default),
        }
    }

    /// Looks a field up and notes its name as known; the first of several counts.
    pub(crate) fn field(&mut self, name: &'static str) -> Option<FieldValue<'v, 'a>> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        let property = self.object.get(name)?;
        let value = &property.value;
        let path = self.path_of(name);
        Some(FieldValue { value, path })
    }

    /// Adds a fault for each field that is unknown or given twice.
    pub(crate) fn finish(self, sheet: &mut FaultSheet<'_>) {
        for (index, property) in self.object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let path = self.path_of(name);
            let earlier = &self.object.properties[..index];
            if let Some(first) = earlier.iter().find(|other| other.name.as_str() == name) {
                let (line, _) = sheet.place(first.start());
                let message = format!("field is given twice, first on line {line}");
                sheet.add(property.start(), &path, message);
            } else if !self.known.contains(&name) {
                let known = self.known.join(", ");
                let message = format!("unknown field; known fields are {known}");
                sheet.add(property.start(), &path, message);
            }
        }
    }

    /// Path of the field `name` of this object.
    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            return name.to_owned();
        }
        format!("{}.{name}", self.path)
    }
}
