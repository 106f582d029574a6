/// Read from the store that a router needs to keep documents up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreRead {
    /// None: the granter relays the documents.
    Skip,
    /// A list of all documents: this router's are missing or, by the granter's state, out of date.
    List,
    /// A list, then watches of the changes.
    Watch,
}
