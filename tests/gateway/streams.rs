//! Whole events out of bytes as they come.

use hickoryledge::gateway::events::EventSplitter;

fn split(parts: &[&str]) -> (Vec<(Option<u64>, String)>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for part in parts {
        splitter.push(part.as_bytes());
        while let Some(event) = splitter.next_event() {
            let text = String::from_utf8_lossy(&event.bytes).into_owned();
            events.push((event.id, text));
        }
    }
    (events, splitter.is_partial())
}

#[test]
fn events_are_passed_on_as_they_were_written() {
    let (events, is_partial) = split(&["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"]);
    assert_eq!(events[0], (Some(1), "id: 1\ndata: a\n\n".to_owned()));
    assert_eq!(events[1].0, Some(2));
    assert!(!is_partial);
}

#[test]
fn an_event_may_come_in_pieces() {
    let (events, _) = split(&["id: 1\nda", "ta: a\n", "\nid: 2"]);
    assert_eq!(events, [(Some(1), "id: 1\ndata: a\n\n".to_owned())]);
}

#[test]
fn lines_may_end_with_carriage_returns() {
    let (events, is_partial) = split(&["id: 1\r\ndata: a\r\n", "\r\n"]);
    assert_eq!(events.len(), 1);
    assert_eq!(events[0].0, Some(1));
    assert!(!is_partial);
}

#[test]
fn a_stream_that_stops_midway_is_partial() {
    let (events, is_partial) = split(&["id: 1\ndata: a\n\n", "id: 2\ndata"]);
    assert_eq!(events.len(), 1);
    assert!(is_partial);
}
