use std::fmt::Write;

use crate::cluster::ServerSpec;

/// Returns the document of a keyed service, whose servers own slices of its keys.
pub(crate) fn jobs(servers: &[ServerSpec]) -> String {
    let head = "[service]\nname = jobs\nhosts = jobs.example\nkind = keyed\n\
                [keys]\npath = /jobs/{key}\nslices = 256\nfenced = yes\nlease = 1200 ms\n\
                [requests]\ntimeout = 3 s\n\
                [limits]\nslots = 4\nconnections = 110\ncold_slots = 1\nwarmup = 2 s\n";
    append_servers(head, servers)
}

/// Returns the document of a pooled service, whose targets accept any request.
pub(crate) fn photos(servers: &[ServerSpec]) -> String {
    let head = "[service]\nname = photos\nhosts = photos.example\nkind = pooled\n\
                [requests]\ntimeout = 3 s\nmax_body = 64 MB\n\
                [limits]\nslots = 4\nconnections = 110\ncold_slots = 1\nwarmup = 2 s\n";
    append_servers(head, servers)
}

fn append_servers(head: &str, servers: &[ServerSpec]) -> String {
    let mut text = head.to_owned();
    for ServerSpec { name, address, zone } in servers {
        // Writing to a string cannot fail.
        let _ = write!(text, "[server {name}]\naddress = {address}\nzone = {zone}\n");
    }
    text
}
