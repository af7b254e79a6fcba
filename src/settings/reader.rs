//! Typed access to the fields of a settings tree.
//!
//! A field that is missing or of the wrong type is reported as a diagnostic and reads as `None`, so
//! that reading goes on and finds further errors.

use super::tree::{Node, Position, Value};
use std::{cell::RefCell, collections::BTreeMap, fmt, net::SocketAddr, ops::RangeInclusive};

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;

/// Error at one position of a settings file.
#[derive(Clone, Debug, PartialEq)]
pub struct Diagnostic {
    /// Position of the field or value.
    pub position: Position,
    /// Dotted path of the field; empty if the file isn't valid YAML.
    pub field: String,
    /// Description of the error.
    pub reason: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(f, "line {line}, column {column}: ")?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.reason)
    }
}

/// Diagnostics found so far.
#[derive(Debug, Default)]
pub(super) struct Diagnostics(RefCell<Vec<Diagnostic>>);

impl Diagnostics {
    pub(super) fn add<R>(&self, position: Position, field: &str, reason: R)
    where
        R: Into<String>,
    {
        self.0.borrow_mut().push(Diagnostic {
            position,
            field: field.to_owned(),
            reason: reason.into(),
        });
    }

    /// Returns the diagnostics in the order of the file.
    pub(super) fn into_sorted(self) -> Vec<Diagnostic> {
        let mut diagnostics = self.0.into_inner();
        diagnostics.sort_by_key(|diagnostic| diagnostic.position);
        diagnostics
    }
}

/// Map in the file, whose fields are removed as they are read.
pub(super) struct Section<'a> {
    diagnostics: &'a Diagnostics,
    path: String,
    position: Position,
    fields: BTreeMap<&'a str, Field<'a>>,
}

/// Value in the file, with its path.
#[derive(Clone)]
pub(super) struct Field<'a> {
    diagnostics: &'a Diagnostics,
    path: String,
    node: &'a Node,
}

impl<'a> Section<'a> {
    /// Removes and returns an optional field.
    pub(super) fn take(&mut self, key: &str) -> Option<Field<'a>> {
        self.fields.remove(key)
    }

    /// Removes and returns a required field; reports it if it is missing.
    pub(super) fn require(&mut self, key: &str) -> Option<Field<'a>> {
        let field = self.take(key);
        if field.is_none() {
            self.missing(key);
        }
        field
    }

    /// Reports that a field is missing.
    pub(super) fn missing(&self, key: &str) {
        let path = join_path(&self.path, key);
        self.diagnostics.add(self.position, &path, "is missing");
    }

    /// Removes and returns all remaining fields by key.
    pub(super) fn take_rest(&mut self) -> BTreeMap<&'a str, Field<'a>> {
        std::mem::take(&mut self.fields)
    }

    /// Reports all remaining fields as unknown settings.
    pub(super) fn finish(self) {
        for field in self.fields.values() {
            field.error("is not a known setting");
        }
    }
}

impl<'a> Field<'a> {
    /// Returns the root of the document.
    pub(super) fn root(diagnostics: &'a Diagnostics, node: &'a Node) -> Self {
        Self {
            diagnostics,
            path: String::new(),
            node,
        }
    }

    /// Reports an error of this field.
    pub(super) fn error<R>(&self, reason: R)
    where
        R: Into<String>,
    {
        self.diagnostics.add(self.node.position, &self.path, reason);
    }

    /// Returns the field as a map.
    pub(super) fn section(&self) -> Option<Section<'a>> {
        let Value::Map(entries) = &self.node.value else {
            self.error("must be a map");
            return None;
        };
        let mut fields = BTreeMap::new();
        for entry in entries {
            let path = join_path(&self.path, &entry.key);
            let field = Field {
                diagnostics: self.diagnostics,
                path: path.clone(),
                node: &entry.node,
            };
            if fields.insert(entry.key.as_str(), field).is_some() {
                self.diagnostics
                    .add(entry.position, &path, "is given twice");
            }
        }
        Some(Section {
            diagnostics: self.diagnostics,
            path: self.path.clone(),
            position: self.node.position,
            fields,
        })
    }

    /// Returns the items of the field, which must be a list.
    pub(super) fn list(&self) -> Vec<Field<'a>> {
        let Value::List(nodes) = &self.node.value else {
            self.error("must be a list");
            return Vec::new();
        };
        let field = |(i, node)| Field {
            diagnostics: self.diagnostics,
            path: format!("{}[{i}]", self.path),
            node,
        };
        nodes.iter().enumerate().map(field).collect()
    }

    /// Returns the field as text, which must not be empty.
    pub(super) fn text(&self) -> Option<&'a str> {
        match &self.node.value {
            Value::Text(text) if text.is_empty() => self.error("must not be empty"),
            Value::Text(text) => return Some(text),
            Value::Null => self.error("must not be empty"),
            Value::Number(_) | Value::Bool => self.error("must be text; put it in quotes"),
            Value::List(_) | Value::Map(_) => self.error("must be text"),
        }
        None
    }

    /// Returns the field as a name that can be part of a key in the platform's key-value store.
    pub(super) fn name(&self) -> Option<&'a str> {
        let text = self.text()?;
        let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if text.len() > MAX_NAME_BYTES || !text.chars().all(allowed) {
            self.error(format!(
                "{text:?} is not a name of 1 to {MAX_NAME_BYTES} letters, digits, '-', '_' or '.'"
            ));
            return None;
        }
        Some(text)
    }

    /// Returns the field as an IP address and port.
    pub(super) fn address(&self) -> Option<SocketAddr> {
        let text = self.text()?;
        let address = text.parse().ok();
        if address.is_none() {
            self.error(format!("{text:?} is not an address such as 10.0.0.1:8080"));
        }
        address
    }

    /// Returns the field as an address to connect to, with a port and a specific IP address.
    pub(super) fn remote_address(&self) -> Option<SocketAddr> {
        let address = self.address()?;
        if address.port() == 0 || address.ip().is_unspecified() {
            self.error(format!(
                "{address} needs a nonzero port and a specific IP address"
            ));
            return None;
        }
        Some(address)
    }

    /// Returns the field as an integer within limits.
    pub(super) fn integer(&self, limits: RangeInclusive<u64>) -> Option<u64> {
        let (min, max) = (*limits.start(), *limits.end());
        match self.node.value {
            Value::Number(number)
                if number.fract() == 0.0 && number >= min as f64 && number <= max as f64 =>
            {
                return Some(number as u64);
            }
            Value::Number(number) => {
                self.error(format!("{number} is not an integer from {min} to {max}"));
            }
            _ => self.error(format!("must be an integer from {min} to {max}")),
        }
        None
    }

    /// Returns the field as a number within limits.
    pub(super) fn number(&self, limits: RangeInclusive<f64>) -> Option<f64> {
        let (min, max) = (limits.start(), limits.end());
        match self.node.value {
            Value::Number(number) if limits.contains(&number) => return Some(number),
            Value::Number(number) => {
                self.error(format!("{number} is not a number from {min} to {max}"));
            }
            _ => self.error(format!("must be a number from {min} to {max}")),
        }
        None
    }
}

/// Appends a key to a dotted path.
fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}
