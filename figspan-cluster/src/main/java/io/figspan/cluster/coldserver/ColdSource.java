package io.figspan.cluster.coldserver;

/** Where a host has learned how long a server stays cold. */
public enum ColdSource {
    /** The server's entry in the store, which may have been written some time before it is read. */
    ENTRY,
    /** The head of one of the server's responses. */
    RESPONSE,
    /** Another host. */
    PEER
}
