//! Matches outputs against patterns and binds parts of the match to names.

use std::collections::BTreeMap;

use serde_json::Value;

/// Values bound to names by earlier lines.
#[derive(Debug, Default)]
pub(super) struct Bindings {
    values: BTreeMap<String, Value>,
}

impl Bindings {
    /// Replaces each `"$name"` by the value bound to it. The error is a name that isn't bound.
    pub(super) fn substitute(&self, value: &Value) -> Result<Value, String> {
        match value {
            Value::String(text) => match text.strip_prefix('$') {
                Some(name) => self
                    .values
                    .get(name)
                    .cloned()
                    .ok_or_else(|| name.to_owned()),
                None => Ok(value.clone()),
            },
            Value::Array(items) => items.iter().map(|item| self.substitute(item)).collect(),
            Value::Object(fields) => fields
                .iter()
                .map(|(key, field)| Ok((key.clone(), self.substitute(field)?)))
                .collect(),
            _ => Ok(value.clone()),
        }
    }

    /// Binds values of a match to names. The error is a JSON pointer to no value of the match.
    pub(super) fn bind(
        &mut self,
        found: &Value,
        pointers: &BTreeMap<String, String>,
    ) -> Result<(), String> {
        for (name, pointer) in pointers {
            let value = found.pointer(pointer).ok_or_else(|| pointer.clone())?;
            self.values.insert(name.clone(), value.clone());
        }
        Ok(())
    }
}

/// Returns true if `value` has all fields of `pattern` with matching values. Extra fields are
/// ignored; arrays must have the same length.
pub(super) fn matches(pattern: &Value, value: &Value) -> bool {
    match (pattern, value) {
        (Value::Object(expected), Value::Object(actual)) => expected
            .iter()
            .all(|(key, field)| actual.get(key).is_some_and(|value| matches(field, value))),
        (Value::Array(expected), Value::Array(actual)) => {
            expected.len() == actual.len()
                && expected.iter().zip(actual).all(|(e, a)| matches(e, a))
        }
        _ => pattern == value,
    }
}
