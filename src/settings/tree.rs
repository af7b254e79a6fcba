//! YAML document as a tree of values with their positions in the file.

use serde::{
    Deserialize, Deserializer,
    de::{MapAccess, SeqAccess, Visitor},
};
use serde_saphyr::Spanned;
use std::fmt;

/// Position in a settings file, counted from one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// Line number.
    pub line: u32,
    /// Column number, in characters.
    pub column: u32,
}

/// Value and its position.
#[derive(Debug)]
pub(super) struct Node {
    pub(super) position: Position,
    pub(super) value: Value,
}

/// YAML value; the content of a boolean isn't kept, as no setting is one.
#[derive(Debug)]
pub(super) enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<Entry>),
}

/// Key of a map with its position and value.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) key: String,
    pub(super) position: Position,
    pub(super) node: Node,
}

impl From<Spanned<Value>> for Node {
    fn from(spanned: Spanned<Value>) -> Self {
        Self {
            position: Position::from(spanned.referenced),
            value: spanned.value,
        }
    }
}

impl From<serde_saphyr::Location> for Position {
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
        f.write_str("a YAML value")
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
                position: Position::from(key.referenced),
                key: key.value,
                node,
            });
        }
        Ok(Value::Map(map))
    }
}
