package io.figspan.settings.gateway;

/**
 * Limits on the requests and connections of callers.
 *
 * @param maxHeaderBytes maximum size of the request line and headers
 * @param maxBodyBytes maximum size of a request body
 * @param headerTimeoutMs timeout for receiving the headers of a request
 * @param idleTimeoutMs timeout of an idle connection
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMs, long idleTimeoutMs) {
    /** Limits used until settings are available. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4 * 1_024 * 1_024, 3_000, 15_000);

    /** Length of the shortest ordinary line: a name of one character, a colon, and the end of the line. */
    private static final int MIN_LINE_BYTES = 4;

    /** Maximum number of lines of a head, or of the trailers of a body: as many short lines as its size admits. */
    public int maxHeaderLines() {
        return maxHeaderBytes / MIN_LINE_BYTES;
    }
}
