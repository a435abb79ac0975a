//! Typed access to the fields of the JSON syntax tree.
//!
//! Each read either returns a value or adds a fault with the field's path and position, so that a
//! check can continue with the next field. The tree is read by hand and not through `serde`, which
//! stops at the first fault and does not know the position of a value in the text.

use std::ops::RangeInclusive;
use std::str::FromStr;

use jsonc_parser::ast::{Object, Value};
use jsonc_parser::common::Ranged;
use strum::IntoEnumIterator;

use crate::collector::FaultCollector;

/// A value of the syntax tree with the path of its field, such as `rules[0].method`.
#[derive(Debug)]
pub(crate) struct FieldValue<'v, 'a> {
    value: &'v Value<'a>,
    path: String,
}

impl<'v, 'a> FieldValue<'v, 'a> {
    /// The top-level value of a text; its path is empty.
    pub(crate) const fn root(value: &'v Value<'a>) -> Self {
        let path = String::new();
        Self { value, path }
    }

    /// Adds a fault at the position of this value.
    pub(crate) fn add_fault(&self, collector: &mut FaultCollector<'_>, message: String) {
        collector.add(self.offset(), &self.path, message);
    }

    /// Byte offset of the value in the text.
    pub(crate) fn offset(&self) -> usize {
        self.value.start()
    }

    /// Reads a string.
    pub(crate) fn string(&self, collector: &mut FaultCollector<'_>) -> Option<&'v str> {
        let Value::StringLit(string) = self.value else {
            self.add_type_fault(collector, "a string");
            return None;
        };
        Some(&string.value)
    }

    /// Reads a string that names one variant of an enum.
    pub(crate) fn enum_value<T>(&self, collector: &mut FaultCollector<'_>) -> Option<T>
    where
        T: FromStr + IntoEnumIterator + Into<&'static str>,
    {
        let name = self.string(collector)?;
        let value = name.parse().ok();
        if value.is_none() {
            let names: Vec<_> = T::iter().map(Into::into).collect();
            let expected = names.join(", ");
            self.add_fault(
                collector,
                format!("expected one of {expected}, found {name:?}"),
            );
        }
        value
    }

    /// Reads `true` or `false`.
    pub(crate) fn boolean(&self, collector: &mut FaultCollector<'_>) -> Option<bool> {
        let Value::BooleanLit(boolean) = self.value else {
            self.add_type_fault(collector, "true or false");
            return None;
        };
        Some(boolean.value)
    }

    /// Reads a whole number within `range`.
    pub(crate) fn number(
        &self,
        collector: &mut FaultCollector<'_>,
        range: &RangeInclusive<u64>,
    ) -> Option<u64> {
        let (low, high) = (range.start(), range.end());
        let expected = format!("a whole number from {low} to {high}");
        let Value::NumberLit(number) = self.value else {
            self.add_type_fault(collector, &expected);
            return None;
        };
        let parsed = number.value.parse().ok();
        let parsed = parsed.filter(|value| range.contains(value));
        if parsed.is_none() {
            self.add_fault(
                collector,
                format!("expected {expected}, found {}", number.value),
            );
        }
        parsed
    }

    /// Reads a whole number within `range`, which must end below 2^32.
    pub(crate) fn number_u32(
        &self,
        collector: &mut FaultCollector<'_>,
        range: &RangeInclusive<u64>,
    ) -> Option<u32> {
        let number = self.number(collector, range)?;
        u32::try_from(number).ok()
    }

    /// Reads the elements of an array; an array of more than `limit` elements is a fault.
    pub(crate) fn elements(
        &self,
        collector: &mut FaultCollector<'_>,
        limit: usize,
    ) -> Option<Vec<FieldValue<'v, 'a>>> {
        let Value::Array(array) = self.value else {
            self.add_type_fault(collector, "an array");
            return None;
        };
        let count = array.elements.len();
        if count > limit {
            self.add_fault(
                collector,
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

    /// Reads an object, whose fields the returned reader then looks up by name.
    pub(crate) fn object(
        &self,
        collector: &mut FaultCollector<'_>,
    ) -> Option<ObjectReader<'v, 'a>> {
        let Value::Object(object) = self.value else {
            self.add_type_fault(collector, "an object");
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

    /// Adds a fault that this value is not of the expected JSON type.
    fn add_type_fault(&self, collector: &mut FaultCollector<'_>, expected: &str) {
        let found = match self.value {
            Value::StringLit(_) => "a string",
            Value::NumberLit(_) => "a number",
            Value::BooleanLit(_) => "a boolean",
            Value::Object(_) => "an object",
            Value::Array(_) => "an array",
            Value::NullKeyword(_) => "null",
        };
        self.add_fault(collector, format!("expected {expected}, found {found}"));
    }
}

/// Reads the fields of one object by name and reports the fields that were never looked up.
#[derive(Debug)]
pub(crate) struct ObjectReader<'v, 'a> {
    object: &'v Object<'a>,
    path: String,
    known: Vec<&'static str>,
}

impl<'v, 'a> ObjectReader<'v, 'a> {
    /// Reads a required field; a missing field is a fault at the start of the object.
    pub(crate) fn required<T>(
        &mut self,
        collector: &mut FaultCollector<'_>,
        name: &'static str,
        parse: impl FnOnce(&FieldValue<'v, 'a>, &mut FaultCollector<'_>) -> Option<T>,
    ) -> Option<T> {
        let Some(field) = self.field(name) else {
            let path = self.path_of(name);
            let message = format!("required field \"{name}\" is missing");
            collector.add(self.object.start(), &path, message);
            return None;
        };
        parse(&field, collector)
    }

    /// Reads a field that may be missing and then has the value `default`.
    pub(crate) fn optional<T>(
        &mut self,
        collector: &mut FaultCollector<'_>,
        name: &'static str,
        default: T,
        parse: impl FnOnce(&FieldValue<'v, 'a>, &mut FaultCollector<'_>) -> Option<T>,
    ) -> Option<T> {
        match self.field(name) {
            Some(field) => parse(&field, collector),
            None => Some(default),
        }
    }

    /// Looks up a field and records its name as known; of several with one name, returns the first.
    pub(crate) fn field(&mut self, name: &'static str) -> Option<FieldValue<'v, 'a>> {
        if !self.known.contains(&name) {
            self.known.push(name);
        }
        let property = self.object.get(name)?;
        let value = &property.value;
        let path = self.path_of(name);
        Some(FieldValue { value, path })
    }

    /// Adds a fault for each field that was never looked up and each repetition of a field.
    pub(crate) fn finish(self, collector: &mut FaultCollector<'_>) {
        for (index, property) in self.object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let path = self.path_of(name);
            let earlier = &self.object.properties[..index];
            if let Some(first) = earlier.iter().find(|other| other.name.as_str() == name) {
                let (line, _) = collector.position(first.start());
                let message = format!("field is given twice, first on line {line}");
                collector.add(property.start(), &path, message);
            } else if !self.known.contains(&name) {
                let known = self.known.join(", ");
                let message = format!("unknown field; known fields are {known}");
                collector.add(property.start(), &path, message);
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
