package io.figspan.control.leaving;

/** States of one backend server process as a host sees it; the chart is {@code charts/backend-server.toml}. */
public enum BackendState {
    /** Accepts new work. */
    LIVE,
    /** Does not answer; gets no new work until it answers again. */
    UNREACHABLE,
    /** Finishes its work and accepts no more; this process never becomes {@link #LIVE} again. */
    LEAVING,
    /** Ended, or replaced by a newer process. */
    GONE
}
