package io.figspan.control.lifecycle;

/** States of one host process; the chart is {@code charts/host.toml}. */
public enum HostState {
    /** Waits for its first settings; not ready. */
    STARTING,
    /** In the entry list and takes work. */
    SERVING,
    /** Out of the entry list and still takes work, because callers keep the old list for a while. */
    UNLISTED,
    /** Takes no new work and finishes what is in flight. */
    DRAINING,
    /** Nothing is in flight; the process may exit. */
    STOPPED
}
