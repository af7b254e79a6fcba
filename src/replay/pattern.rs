//! Matching outputs against patterns, and names for parts of the match.

use std::collections::BTreeMap;

use serde_json::Value;

/// Values bound so far, by name.
#[derive(Debug, Default)]
pub(super) struct Names {
    values: BTreeMap<String, Value>,
}

impl Names {
    /// Puts bound values in the place of `"$name"`; the error is a name not bound.
    pub(super) fn fill(&self, value: &Value) -> Result<Value, String> {
        match value {
            Value::String(text) => match text.strip_prefix('$') {
                Some(name) => self
                    .values
                    .get(name)
                    .cloned()
                    .ok_or_else(|| name.to_owned()),
                None => Ok(value.clone()),
            },
            Value::Array(items) => items.iter().map(|item| self.fill(item)).collect(),
            Value::Object(fields) => fields
                .iter()
                .map(|(key, field)| Ok((key.clone(), self.fill(field)?)))
                .collect(),
            _ => Ok(value.clone()),
        }
    }

    /// Binds parts of a match; the error is a pointer that leads nowhere.
    pub(super) fn bind(
        &mut self,
        found: &Value,
        wanted: &BTreeMap<String, String>,
    ) -> Result<(), String> {
        for (name, pointer) in wanted {
            let value = found.pointer(pointer).ok_or_else(|| pointer.clone())?;
            self.values.insert(name.clone(), value.clone());
        }
        Ok(())
    }
}

/// Whether `value` holds everything that `pattern` names; lists must be as long.
pub(super) fn matches(pattern: &Value, value: &Value) -> bool {
    match (pattern, value) {
        (Value::Object(wanted), Value::Object(held)) => wanted
            .iter()
            .all(|(key, field)| held.get(key).is_some_and(|value| matches(field, value))),
        (Value::Array(wanted), Value::Array(held)) => {
            wanted.len() == held.len() && wanted.iter().zip(held).all(|(w, h)| matches(w, h))
        }
        _ => pattern == value,
    }
}
