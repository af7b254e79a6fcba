//! Typed reading of a settings tree that notes every fault and goes on.

use super::tree::{Node, Place, Value};
use std::{cell::RefCell, collections::BTreeMap, fmt, net::SocketAddr, ops::RangeInclusive};

/// The longest name, in bytes.
const MAX_NAME: usize = 64;

/// One thing wrong in a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    /// Where.
    pub place: Place,
    /// The field, as a dotted path; empty if the file isn't YAML.
    pub field: String,
    /// What is wrong.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Place { line, column } = self.place;
        write!(f, "line {line}, column {column}: ")?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.reason)
    }
}

/// The faults found so far.
#[derive(Debug, Default)]
pub(super) struct Faults(RefCell<Vec<Fault>>);

impl Faults {
    pub(super) fn add<R>(&self, place: Place, field: &str, reason: R)
    where
        R: Into<String>,
    {
        self.0.borrow_mut().push(Fault {
            place,
            field: field.to_owned(),
            reason: reason.into(),
        });
    }

    /// The faults in the order of the file.
    pub(super) fn into_sorted(self) -> Vec<Fault> {
        let mut faults = self.0.into_inner();
        faults.sort_by_key(|fault| fault.place);
        faults
    }
}

/// A map of the file whose fields are taken out one by one.
pub(super) struct Section<'a> {
    faults: &'a Faults,
    path: String,
    place: Place,
    fields: BTreeMap<&'a str, Field<'a>>,
}

/// One value of the file.
#[derive(Clone)]
pub(super) struct Field<'a> {
    faults: &'a Faults,
    path: String,
    node: &'a Node,
}

impl<'a> Section<'a> {
    /// Takes a field that may be missing.
    pub(super) fn take(&mut self, key: &str) -> Option<Field<'a>> {
        self.fields.remove(key)
    }

    /// Takes a field that must be there.
    pub(super) fn need(&mut self, key: &str) -> Option<Field<'a>> {
        let field = self.take(key);
        if field.is_none() {
            self.missing(key);
        }
        field
    }

    /// Notes that a field is missing.
    pub(super) fn missing(&self, key: &str) {
        let path = join(&self.path, key);
        self.faults.add(self.place, &path, "is missing");
    }

    /// Takes every field that is left, with its key.
    pub(super) fn rest(&mut self) -> BTreeMap<&'a str, Field<'a>> {
        std::mem::take(&mut self.fields)
    }

    /// Notes the fields that nobody took.
    pub(super) fn finish(self) {
        for field in self.fields.values() {
            field.fault("is not a known setting");
        }
    }
}

impl<'a> Field<'a> {
    pub(super) fn root(faults: &'a Faults, node: &'a Node) -> Self {
        Self {
            faults,
            path: String::new(),
            node,
        }
    }

    /// Notes what is wrong with this field.
    pub(super) fn fault<R>(&self, reason: R)
    where
        R: Into<String>,
    {
        self.faults.add(self.node.place, &self.path, reason);
    }

    /// The field as a map.
    pub(super) fn section(&self) -> Option<Section<'a>> {
        let Value::Map(entries) = &self.node.value else {
            self.fault("must be a map");
            return None;
        };
        let mut fields = BTreeMap::new();
        for entry in entries {
            let path = join(&self.path, &entry.key);
            let field = Field {
                faults: self.faults,
                path: path.clone(),
                node: &entry.node,
            };
            if fields.insert(entry.key.as_str(), field).is_some() {
                self.faults.add(entry.place, &path, "is given twice");
            }
        }
        Some(Section {
            faults: self.faults,
            path: self.path.clone(),
            place: self.node.place,
            fields,
        })
    }

    /// The field as a list.
    pub(super) fn list(&self) -> Vec<Field<'a>> {
        let Value::List(nodes) = &self.node.value else {
            self.fault("must be a list");
            return Vec::new();
        };
        let field = |(i, node)| Field {
            faults: self.faults,
            path: format!("{}[{i}]", self.path),
            node,
        };
        nodes.iter().enumerate().map(field).collect()
    }

    /// The field as text that is not empty.
    pub(super) fn text(&self) -> Option<&'a str> {
        match &self.node.value {
            Value::Text(text) if text.is_empty() => self.fault("must not be empty"),
            Value::Text(text) => return Some(text),
            Value::Null => self.fault("must not be empty"),
            Value::Number(_) | Value::Bool => self.fault("must be text; put it in quotes"),
            Value::List(_) | Value::Map(_) => self.fault("must be text"),
        }
        None
    }

    /// The field as a name that can be part of a key at the platform's service.
    pub(super) fn name(&self) -> Option<&'a str> {
        let text = self.text()?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if text.len() > MAX_NAME || !text.chars().all(allowed) {
            self.fault(format!(
                "{text:?} is not 1 to {MAX_NAME} letters, digits, '-', '_' or '.'"
            ));
            return None;
        }
        Some(text)
    }

    /// The field as an IP address and port.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        let text = self.text()?;
        let address = text.parse().ok();
        if address.is_none() {
            self.fault(format!("{text:?} is not an address such as 10.0.0.1:8080"));
        }
        address
    }

    /// The field as an address that can be connected to.
    pub(super) fn remote(&self) -> Option<SocketAddr> {
        let address = self.address()?;
        if address.port() == 0 || address.ip().is_unspecified() {
            self.fault(format!("{address} can't be connected to"));
            return None;
        }
        Some(address)
    }

    /// The field as a whole number within limits.
    pub(super) fn whole(&self, limits: RangeInclusive<u64>) -> Option<u64> {
        let (low, high) = (*limits.start(), *limits.end());
        match self.node.value {
            Value::Number(number)
                if number.fract() == 0.0 && number >= low as f64 && number <= high as f64 =>
            {
                return Some(number as u64);
            }
            Value::Number(number) => {
                self.fault(format!(
                    "{number} is not a whole number from {low} to {high}"
                ));
            }
            _ => self.fault(format!("must be a whole number from {low} to {high}")),
        }
        None
    }

    /// The field as a number within limits.
    pub(super) fn real(&self, limits: RangeInclusive<f64>) -> Option<f64> {
        let (low, high) = (limits.start(), limits.end());
        match self.node.value {
            Value::Number(number) if limits.contains(&number) => return Some(number),
            Value::Number(number) => {
                self.fault(format!("{number} is not a number from {low} to {high}"));
            }
            _ => self.fault(format!("must be a number from {low} to {high}")),
        }
        None
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
