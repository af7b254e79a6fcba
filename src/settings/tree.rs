//! A YAML document as a tree in which every value knows its place.

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;
use std::fmt;

/// A place in a settings file, counted from one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: u32,
    /// The column, in characters.
    pub column: u32,
}

/// A value and its place.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) place: Place,
    pub(super) value: Value,
}

/// A value of any kind.
#[derive(Debug)]
pub(super) enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<Entry>),
}

/// A key of a map and its value.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) key: String,
    pub(super) place: Place,
    pub(super) node: Node,
}

impl From<Spanned<Value>> for Node {
    fn from(spanned: Spanned<Value>) -> Self {
        Self {
            place: Place::from(spanned.referenced),
            value: spanned.value,
        }
    }
}

impl From<serde_saphyr::Location> for Place {
    fn from(location: serde_saphyr::Location) -> Self {
        Self {
            line: location.line() as u32,
            column: location.column() as u32,
        }
    }
}

impl<'de> Deserialize<'de> for Value {
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(ValueVisitor)
    }
}

struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_none<E>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_some<D>(self, deserializer: D) -> Result<Value, D::Error>
    where
        D: Deserializer<'de>,
    {
        Value::deserialize(deserializer)
    }

    fn visit_bool<E>(self, _value: bool) -> Result<Value, E> {
        Ok(Value::Bool)
    }

    fn visit_i64<E>(self, value: i64) -> Result<Value, E> {
        Ok(Value::Number(value as f64))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Value, E> {
        Ok(Value::Number(value as f64))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Value, E> {
        Ok(Value::Number(value))
    }

    fn visit_str<E>(self, value: &str) -> Result<Value, E> {
        Ok(Value::Text(value.to_owned()))
    }

    fn visit_seq<A>(self, mut items: A) -> Result<Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut list = Vec::new();
        while let Some(item) = items.next_element::<Spanned<Value>>()? {
            list.push(Node::from(item));
        }
        Ok(Value::List(list))
    }

    fn visit_map<A>(self, mut entries: A) -> Result<Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        let mut map = Vec::new();
        while let Some(key) = entries.next_key::<Spanned<String>>()? {
            let node = Node::from(entries.next_value::<Spanned<Value>>()?);
            map.push(Entry {
                place: Place::from(key.referenced),
                key: key.value,
                node,
            });
        }
        Ok(Value::Map(map))
    }
}
