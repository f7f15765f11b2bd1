package io.figspan.control.lifecycle;

/** States of one host process; the chart is {@code charts/host.toml}. */
public enum HostState {
    /** Not ready; waits for its first settings. */
    STARTING,
    /** In the entry list; accepts new work. */
    SERVING,
    /** Removed from the entry list; still accepts new work, because callers cache the list. */
    UNLISTED,
    /** Accepts no new work and finishes what is in flight. */
    DRAINING,
    /** Ends what is still in flight with a final answer. */
    ENDING,
    /** Nothing is in flight, or the grace time is over; the process exits. */
    STOPPED
}
