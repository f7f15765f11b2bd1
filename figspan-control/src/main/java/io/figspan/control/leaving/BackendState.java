package io.figspan.control.leaving;

/** States of one backend server process as a host sees it; the chart is {@code charts/backend-server.toml}. */
public enum BackendState {
    /** Takes new work. */
    LIVE,
    /** Does not answer; gets no new work until it does. */
    UNREACHABLE,
    /** Finishes its work and takes no more; never {@link #LIVE} again in this process lifetime. */
    LEAVING,
    /** Ended, or replaced by a newer process. */
    GONE
}
