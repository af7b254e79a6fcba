//! Splitting of a byte stream into whole events, whatever the chunks it arrives in.

use bytes::Bytes;
use futures_channel::mpsc;
use futures_util::StreamExt as _;
use hickoryledge::gateway::{
    events::EventSplitter,
    responses::{EventFrames, StreamPart},
};

fn split(chunks: &[&str]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes());
        while let Some(event) = splitter.next_event() {
            let text = String::from_utf8_lossy(&event.bytes).into_owned();
            events.push((event.id, text));
        }
    }
    (events, splitter.is_partial())
}

#[test]
fn keeps_bytes_of_events() {
    let (events, is_partial) = split(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"]);
    assert_eq!(events[0], (Some(1), "id: 1\ndata: a\n\n".to_owned()));
    assert_eq!(events[1].0, Some(2));
    assert!(!is_partial);
}

#[test]
fn joins_event_split_over_chunks() {
    let (events, _) = split(&["id: 1\nda", "ta: a\n", "\nid: 2"]);
    assert_eq!(events, [(Some(1), "id: 1\ndata: a\n\n".to_owned())]);
}

#[test]
fn accepts_crlf_line_ends() {
    let (events, is_partial) = split(&["id: 1\r\ndata: a\r\n", "\r\n"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].0, Some(1));
    assert!(!is_partial);
}

#[test]
fn unfinished_event_is_partial() {
    let (events, is_partial) = split(&["id: 1\ndata: a\n\n", "id: 2\ndata"]);
    assert_eq!(events.len(), 1);
    assert!(is_partial);
}

/// Frames of a stream whose relay sent these parts and was dropped.
async fn frames(parts: Vec<StreamPart>) -> Vec<Option<Bytes>> {
    let (mut sender, receiver) = mpsc::channel(parts.len());
    for part in parts {
        sender.try_send(part).expect("room for the part");
    }
    drop(sender);
    let received = EventFrames::new(receiver).collect::<Vec<_>>().await;
    let data = received
        .into_iter()
        .map(|frame| frame.ok()?.into_data().ok());
    data.collect()
}

#[compio::test]
async fn stream_whose_relay_is_dropped_is_not_complete() {
    let event = Bytes::from_static(b"id: 1\n\n");
    let parts = vec![StreamPart::Event(event.clone())];
    assert_eq!(frames(parts.clone()).await, [Some(event.clone()), None]);
    let parts = [parts, vec![StreamPart::End]].concat();
    assert_eq!(frames(parts).await, [Some(event)]);
}
