//! A configuration like that of a small deployment.

/// Routes: a stream of the models, and plain ones.
pub const ROUTES: &str = r#"{"Name":"r-llm","Host":"a.example","Prefix":"/llm/","Kind":"stream","TimeoutMs":8000,"SloMs":400,"Priority":1,"Service":"llm","Attempts":2,"Public":false,"Sticky":true,"Resumable":true,"GapAimMs":250},{"Name":"r-safe","Host":"a.example","Prefix":"/safe/","Kind":"safe","TimeoutMs":2000,"SloMs":300,"Priority":2,"Service":"plain","Attempts":2,"Public":false},{"Name":"r-unsafe","Host":"a.example","Prefix":"/unsafe/","Kind":"unsafe","TimeoutMs":2000,"SloMs":300,"Priority":2,"Service":"plain","Attempts":1,"Public":false}"#;

/// Returns a version of the configuration; `more` are further routes, each with a comma before it.
pub fn config(version: u64, more: &str) -> String {
    let engine = r#"{"Slots":26,"KvCacheTokens":2470000,"KvTokenBytes":35136,"LinkMbps":400000.0,"Stride":6,"Models":[{"Name":"m","size":3,"Share":1.0,"pace":1.0,"LoadS":12.0,"WarmS":1.1}],"step_ms":6.45,"per_seq_ms":0.0967,"context_per_k":0.00293,"read_per_s":56100.0,"pairs_per_m":0.309,"chunk":2048,"report_lag_ms":200.0,"LoadsPerS":5.5,"loads_at_once":8,"delays":[],"usual":{"prompt":1115,"answer":152},"Keeps":1,"far_x":4.0,"FormMs":300.0}"#;
    let limits = r#"{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;
    format!(
        r#"{{"Version":{version},"Routes":[{ROUTES}{more}],"Services":[{{"Name":"llm","HealthPath":"/healthz","MaxConns":314,"Protocol":"h1","Tls":false,"Engine":{engine}}},{{"Name":"plain","HealthPath":"/healthz","MaxConns":110,"Protocol":"h1","Tls":false}}],"Limits":{limits},"Tenants":[{{"Name":"tenant","ApiKeys":["key-1"],"Priority":1}}]}}"#
    )
}
